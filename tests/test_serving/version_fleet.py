"""Instances that record software versions in one store, and can be killed."""

from random import Random

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.serving.version_recorder import VersionRecorder
from tests.coroutines import Pending
from tests.test_serving.fake_objects import FakeObjects
from tests.test_serving.streams import send_ask, take_up
from tests.test_serving.test_load_exchange import create_deployment
from tests.test_serving.world import World, target

VERSIONS_BY_LETTER = {'a': 'v1', 'b': 'v2', 'c': 'v3'}


def engines(*letters):
    """Return two decode engines of each version, named by its letter."""
    return [
        target(
            f'{letter}{number}',
            'llm',
            'decode',
            version=VERSIONS_BY_LETTER[letter],
        )
        for letter in letters
        for number in range(2)
    ]


def version_of(sent):
    return VERSIONS_BY_LETTER[sent.target[0]]


class PausedObjects(FakeObjects):
    """
    A store whose calls wait.

    ``pauses_before`` and ``pauses_after``: calls that wait before and after
    they take effect. ``latency_ms``: time of each call, with ``clock``.
    """

    def __init__(self, clock=None, latency_ms=0):
        super().__init__()
        self.clock = clock
        self.latency_ms = latency_ms
        self.pauses_before = set()
        self.pauses_after = set()
        self.waiting = []

    def release(self):
        self.pauses_before.clear()
        self.pauses_after.clear()
        waiting, self.waiting = self.waiting, []
        for pause in waiting:
            pause.callback(None)

    async def read_page(self, kind, **options):
        call = super().read_page
        return await self._slow('page', lambda: call(kind, **options))

    async def create(self, *arguments):
        call = super().create
        return await self._slow('write', lambda: call(*arguments))

    async def replace(self, *arguments):
        call = super().replace
        return await self._slow('write', lambda: call(*arguments))

    async def _slow(self, call, effect):
        await self._pause(call in self.pauses_before)
        found = await effect()
        await self._pause(call in self.pauses_after)
        return found

    async def _pause(self, is_held):
        if self.latency_ms:
            await self.clock.sleep(self.latency_ms / 2)
        if is_held:
            pause = Deferred()
            self.waiting.append(pause)
            await pause


class VersionFleet:
    """Instances that start with a list of engines and the store's record."""

    def __init__(self, objects, clock=None, *, count=1, listed=(), seed=1):
        self.objects = objects
        self.network, self.clock, self.instances = create_deployment(
            ['abc'[number % 3] for number in range(count)],
            clock or Clock.manual(),
            lambda clock: World(clock, is_first_start=False),
        )
        self.recorders = [
            VersionRecorder(
                objects,
                instance.world.context.streams,
                self.clock,
                Random(seed * 1000 + number),
                lambda: count,
                instance.world.metrics,
            )
            for number, instance in enumerate(self.instances)
        ]
        # Load reports take most of the time of a test, and play no part.
        for instance in self.instances:
            instance.stop()
        self.list_engines(listed)
        for recorder in self.recorders:
            Pending(recorder.start())

    def list_engines(self, listed):
        for instance in self.instances:
            instance.world.context.fleet.directory.replace(listed)

    def settle(self):
        """Let all timers of the recorders run."""
        for _ in range(500):
            self.clock.advance(10)

    def kill(self):
        """Kill all instances; what they had asked of the store goes on."""
        self.network.drops_all = True
        for recorder in self.recorders:
            Pending(recorder.stop())

    def restart(self, *letters):
        """Return a fleet that starts after a kill of this one."""
        self.kill()
        return VersionFleet(
            self.objects,
            self.clock,
            count=len(self.instances),
            listed=engines(*letters),
            seed=2,
        )

    def begin(self, number=0):
        """
        Send a request whose engine sends an event at once, if it gets it.

        :return: the caller, and the attempt
        """
        caller, sent = send_ask(self.instances[number].world)
        if sent:
            sent[0].begin_stream()
            sent[0].send_events(1)
        return caller, sent[0] if sent else None

    def take_up(self, attempt_id, number=0):
        """Return the caller that takes a stream up, and its versions."""
        world = self.instances[number].world
        sent_count = len(world.sent)
        caller, _ = take_up(world, attempt_id)
        self.clock.advance(140)
        return caller, [version_of(sent) for sent in world.sent[sent_count:]]


def has_event(caller):
    """Return whether a caller has received an event."""
    return b'id: 1' in caller.received
