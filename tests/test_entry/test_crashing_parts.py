"""
Parts of prompts that crash every engine which begins an answer on them.

The requests with such a part are all different. These tests guard against the
loss of one engine after the other, and against refusals of sound requests that
share their other parts and their caller.
"""

import msgspec
import pytest

from cicadahoist.errors import NotSentError
from cicadahoist.standin.faults import Fault
from tests.test_entry.world import World, decode_events

ENGINES = 8
RESTART_MS = 3500
CRASH_PERIOD_MS = 200
SOUND_PER_CRASHING = 4
DURATION_MS = 20_000
# Crashes after which the part must be found, requests with it that may still
# reach engines, and the time in which the entries may learn of the last crash.
KNOWN_CRASHES = 5
LATE_REQUESTS = 3
SETTLE_MS = 2000

POISON = 'poison ' * 200
GUIDE = 'a guide that all share ' * 60
# Positions of the crashing part among the messages; the last one is never it.
PARTS_BY_POSITION = {
    'leading': ('system', POISON, GUIDE),
    'middle': ('user', GUIDE, POISON),
}


class CrashingWorld(World):
    """Engines that crash on the part, and start again after some seconds."""

    def __init__(self, position, **options) -> None:
        super().__init__(engines=ENGINES, **options)
        self._role, *self._parts = PARTS_BY_POSITION[position]
        self._number = 0
        self.crash_times_ms = []
        self.sent_times_ms = []
        for name, server in self.engines.items():
            server.faults.apply(Fault(kind='crash-on-mark', mark='poison'))
            server.faults.crash = lambda name=name: self._crash(name)
        for entry in self.entries:
            entry.context.engines = Recorder(self, entry.context.engines)

    def ask(self, *, is_sound, entry=0):
        """Send a request with the crashing part, or one without it."""
        self._number += 1
        parts = [GUIDE if is_sound else part for part in self._parts]
        texts = [*parts, f'question {self._number}']
        body = {
            'model': 'demo-model',
            'messages': [
                {'role': self._role, 'content': text} for text in texts
            ],
            'max_tokens': 20,
            'stream': True,
        }
        return self.send(
            'POST',
            '/v1/chat/completions',
            msgspec.json.encode(body),
            entry=entry,
        )

    def play(self):
        """Send requests of both kinds; return the answers to sound ones."""
        sound = []
        entries = len(self.entries)
        for number in range(DURATION_MS // CRASH_PERIOD_MS):
            self.ask(is_sound=False, entry=number % entries)
            for _ in range(SOUND_PER_CRASHING):
                sound.append(self.ask(is_sound=True, entry=number % entries))
                self.net.advance(CRASH_PERIOD_MS // SOUND_PER_CRASHING)
        self.net.advance(RESTART_MS)
        return sound

    def count_late_requests(self):
        """Return how many requests with the part arrived too late."""
        if len(self.crash_times_ms) < KNOWN_CRASHES:
            return 0
        settled_ms = self.crash_times_ms[KNOWN_CRASHES - 1] + SETTLE_MS
        return sum(sent_ms > settled_ms for sent_ms in self.sent_times_ms)

    def _crash(self, name):
        host = self.net.hosts[f'{name}:80']
        if not host.is_up:
            return
        self.crash_times_ms.append(self.net.clock.now_ms())
        host.kill()
        self.net.clock.call_later(RESTART_MS, setattr, host, 'is_up', True)


class Recorder:
    """Records when requests with the part reach engines."""

    def __init__(self, world, engines) -> None:
        self._world = world
        self._engines = engines

    def __getattr__(self, name):
        return getattr(self._engines, name)

    async def open_stream(self, target, attempt, path, body, priority):
        sent_ms = self._world.net.clock.now_ms()
        try:
            response = await self._engines.open_stream(
                target, attempt, path, body, priority
            )
        except NotSentError:
            raise
        except Exception:
            self._record(body, sent_ms)
            raise
        self._record(body, sent_ms)
        return response

    def _record(self, body, sent_ms):
        if b'poison' in body:
            self._world.sent_times_ms.append(sent_ms)


def is_whole(answer):
    return answer.status == 200 and decode_events(answer)[-1] == '[DONE]'


@pytest.mark.parametrize('entries', [1, 2])
@pytest.mark.parametrize('position', sorted(PARTS_BY_POSITION))
def test_a_part_that_crashes_engines_is_not_sent_to_all_of_them(
    position, entries
):
    world = CrashingWorld(position, entries=entries)
    world.play()
    assert world.count_late_requests() <= LATE_REQUESTS


@pytest.mark.parametrize('position', sorted(PARTS_BY_POSITION))
def test_sound_requests_are_answered_beside_a_part_that_crashes(position):
    world = CrashingWorld(position)
    sound = world.play()
    late = sound[len(sound) // 2 :]
    assert sum(map(is_whole, late)) * 2 >= len(late)
