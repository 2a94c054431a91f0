"""
Connections whose answer ends while a slow caller keeps them from being read.

They guard against requests on a kept connection that nobody reads: their caller
waits until the deadline, and a sound target counts as silent.
"""

import pytest

from tests.test_serving.test_answers.copies import build_answer, build_head
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    target,
)

EVENT = b'id: 1\ndata: t1\n\n'


class Stream:
    """A stream, and its caller, whose buffer can be full."""

    def __init__(self):
        self.world = World()
        self.world.add(target('d1', 'llm', 'decode'))
        self.caller, self.sent = self.ask()
        self._write = self.caller.transport.write

    def ask(self):
        caller = self.world.send_request(
            b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
        )
        return caller, self.world.sent[-1]

    def fill_buffer(self):
        """Let each further piece of the answer pause the target."""

        def write_and_pause(written):
            self._write(written)
            self.producer.pauseProducing()

        self.caller.transport.write = write_and_pause

    @property
    def producer(self):
        return self.caller.transport.producer

    def check_again(self):
        """Check that the connection is used again, and read."""
        _, again = self.ask()
        assert again.connection is self.sent.connection
        assert again.transport.producerState == 'producing'


# Guards against an answer that ends in the same read as the pause.
@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_a_connection_of_a_paused_answer_is_read_for_the_next(framing):
    stream = Stream()
    stream.fill_buffer()
    name = stream.sent.attempt_id
    stream.sent.write(build_answer(name, framing=framing, body=EVENT))
    stream.check_again()


# Guards against the bytes behind the last event, which are passed on when the
# connection is kept already.
def test_a_connection_is_not_paused_behind_the_end_of_its_answer():
    stream = Stream()
    body = EVENT + b'\n'
    stream.sent.write(build_head(stream.sent.attempt_id, body=body) + EVENT)
    stream.fill_buffer()
    stream.sent.write(b'\n')
    stream.check_again()


def test_an_answer_is_paused_until_its_caller_reads():
    stream = Stream()
    stream.sent.begin_stream()
    stream.sent.send_events(1)
    stream.producer.pauseProducing()
    assert stream.sent.transport.producerState == 'paused'
    stream.producer.resumeProducing()
    assert stream.sent.transport.producerState == 'producing'
