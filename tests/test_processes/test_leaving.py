"""Entries that are stopped or killed while streams are open."""

import signal
import threading

import openai
import pytest

from bench.deployment import Deployment
from tests.test_processes.test_whole_path import PROMPT, client, read_text

STREAMS = 4
TOKENS = 200


@pytest.fixture
def deployment():
    with Deployment(engines=2, services=0) as started:
        started.start()
        started.create_demo_rows()
        yield started


class Streams:
    """Open streams, each read by a thread of its own."""

    def __init__(self, deployment, number) -> None:
        self.texts = []
        self.errors = []
        self._started = threading.Semaphore(0)
        self._threads = [
            threading.Thread(target=self._read, args=(deployment, number))
            for _ in range(STREAMS)
        ]
        for thread in self._threads:
            thread.start()
        for _ in self._threads:
            self._started.acquire()

    def _read(self, deployment, number) -> None:
        stream = client(deployment, number).chat.completions.create(
            model='demo-model',
            messages=PROMPT,
            max_tokens=TOKENS,
            stream=True,
        )
        first_chunk = next(iter(stream))
        self._started.release()
        try:
            self.texts.append(
                first_chunk.choices[0].delta.content + read_text(stream)
            )
        except openai.OpenAIError as error:
            self.errors.append(error)
        except Exception as error:  # the connection was reset
            self.errors.append(error)

    def join(self) -> None:
        for thread in self._threads:
            thread.join()


def test_sigterm_cuts_no_stream(deployment):
    streams = Streams(deployment, 0)
    exit_code = deployment.terminate('entry-1')
    streams.join()
    assert exit_code == 0
    assert not streams.errors
    assert [len(text.split()) for text in streams.texts] == [TOKENS] * STREAMS


def test_a_killed_entry_is_replaced_by_resending_through_another(deployment):
    streams = Streams(deployment, 0)
    deployment.terminate('entry-1', signal.SIGKILL)
    streams.join()
    assert len(streams.errors) == STREAMS
    resent = client(deployment, 1).chat.completions.create(
        model='demo-model', messages=PROMPT, max_tokens=5, stream=True
    )
    assert len(read_text(resent).split()) == 5


def test_a_killed_engine_is_not_noticed_by_callers(deployment):
    streams = Streams(deployment, 1)
    deployment.terminate('engine-1', signal.SIGKILL)
    streams.join()
    assert not streams.errors
    assert len(set(streams.texts)) == 1
    assert [len(text.split()) for text in streams.texts] == [TOKENS] * STREAMS
