"""
Test harness: instances that share engines, and prompts that crash engines.

Time is a manual clock. Requests arrive at random times, at random instances.
"""

from operator import attrgetter
from random import Random

from twisted.internet.task import Clock as ManualTime

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.policy.true_time import TrueTime
from tests.test_serving.test_load_exchange import create_deployment
from tests.test_serving.world import target

STEP_MS = 10
START_MS = 1_700_000_000_000
HANDLE_BODY = b'{"kv-handle":"h%d","tokens":9000,"version":1}'
CRASHING_PART = 'crashing'
PREFILL_MS = 30
FIRST_EVENT_MS = 20
EVENT_PERIOD_MS = 50
# An engine crashes so long after it begins to answer on the part.
CRASH_DELAY_MS = 50
RETURN_MS = 3500
EVENT_COUNTS = (2, 4, 8, 40)


class QuickTime(ManualTime):
    """Manual time that sorts hundreds of timers quickly."""

    def _sortCalls(self):
        self.calls.sort(key=attrgetter('time'))


def create_clock():
    time = QuickTime()
    return Clock(time, lambda: round(time.seconds() * MS_PER_S))


class SharedRequest:
    """
    One request and its caller.

    :param parts: digests of the parts of its prompt
    :param arrived_ms: when it was sent
    """

    def __init__(self, caller, parts, arrived_ms) -> None:
        self.caller = caller
        self.parts = parts
        self.arrived_ms = arrived_ms
        self.sent_ms = []

    @property
    def is_guilty(self):
        return CRASHING_PART in self.parts

    @property
    def is_begun(self):
        """Whether an answer began."""
        return self.caller.status == 200


class Run:
    """What an engine does with one attempt; `step` continues it."""

    def __init__(self, sent, request, event_count, now_ms) -> None:
        self.sent = sent
        self.request = request
        self.last_number = event_count
        self.due_ms = now_ms + FIRST_EVENT_MS
        self.is_prefill = (
            sent.header(b'X-Cicadahoist-Serving-Stage') == b'prefill'
        )
        if self.is_prefill:
            self.due_ms = now_ms + PREFILL_MS
        self.next_number = 1 + int(sent.header(b'Last-Event-Id') or 0)
        self.is_begun = False

    def step(self, now_ms):
        """Send what is due; return whether the engine crashes now."""
        if self.is_over or now_ms < self.due_ms:
            return False
        if self.is_prefill:
            self.sent.answer(body=HANDLE_BODY % now_ms)
            self.next_number = self.last_number + 1
            return False
        if self.request.is_guilty:
            if self.is_begun:
                return True
            self.is_begun = True
            self.due_ms = now_ms + CRASH_DELAY_MS
            return False
        self._send_event(now_ms)
        return False

    @property
    def is_over(self):
        return self.sent.is_closed or self.next_number > self.last_number

    def _send_event(self, now_ms):
        if not self.is_begun:
            self.is_begun = True
            self.sent.begin_stream()
        self.sent.send_events(self.next_number)
        if self.next_number == self.last_number:
            self.sent.end_stream()
        self.next_number += 1
        self.due_ms = now_ms + EVENT_PERIOD_MS


class Engine:
    """One engine, which all instances use."""

    def __init__(self, name, role) -> None:
        self.name = name
        self.role = role
        self.runs = []
        self.transports = {}

    def crash(self):
        """Close all connections."""
        self.runs = []
        for transport in self.transports:
            if transport.protocol is not None:
                transport.protocol.transport.loseConnection()


class CrashPlay:
    """
    Three instances, eight decode engines, and requests to them.

    :param seed: seed of arrivals and parts
    :param place: index of the part that crashes engines in its prompts
    :param prompt_tokens: length of prompts
    :param is_prefilled: whether there are prefill engines
    """

    def __init__(
        self, seed, place=0, prompt_tokens=400, *, is_prefilled=False
    ) -> None:
        self.random = Random(seed)
        self.place = place
        self.part_tokens = prompt_tokens // 4
        self.network, self.clock, self.instances = create_deployment(
            ['zone-a', 'zone-a', 'zone-b'], create_clock()
        )
        for world in self.worlds:
            world.context.true_time = TrueTime(
                self.clock.now_ms, lambda: START_MS
            )
            world.context.fleet.directory.remove('p1')
        self.engine_by_name = {}
        self.requests = []
        self.crashes_ms = []
        self._request_by_attempt = {}
        self._read_counts = [0] * len(self.worlds)
        for number in range(8):
            self._list(Engine(f'd{number}', 'decode'))
        for number in range(2 * is_prefilled):
            self._list(Engine(f'p{number}', 'prefill'))

    @property
    def worlds(self):
        return [instance.world for instance in self.instances]

    def run(
        self, span_ms, sound_per_s=24, guilty_per_s=0, own_crashes_per_s=0
    ) -> None:
        """Let requests arrive and engines work for some time."""
        for _ in range(span_ms // STEP_MS):
            for place, per_s in (
                (None, sound_per_s),
                (self.place, guilty_per_s),
            ):
                if self._happens(per_s):
                    self.send(self.random.randrange(3), place)
            if self._happens(own_crashes_per_s):
                self.crash(self._choose_engine())
            self.step()

    def send(self, instance_number, place=None):
        """Send a request, with the part that crashes engines at a place."""
        number = len(self.requests)
        parts = [
            f'{kind}{self.random.randrange(count)}'
            for kind, count in (('guide', 3), ('site', 5), ('session', 9))
        ]
        if place is not None:
            parts[place] = CRASHING_PART
        attempt = b'play-%d' % number
        caller = self.worlds[instance_number].caller()
        request = SharedRequest(caller, parts, self.clock.now_ms())
        self.requests.append(request)
        self._request_by_attempt[attempt] = request
        caller.write(self._encode(attempt, [*parts, f'own{number}']))
        return request

    def step(self):
        """Move time forward by one step."""
        self._read_sent()
        now_ms = self.clock.now_ms()
        for engine in list(self.engine_by_name.values()):
            # Each run continues before a crash ends them all.
            is_crashed = [run.step(now_ms) for run in engine.runs]
            engine.runs = [run for run in engine.runs if not run.is_over]
            if any(is_crashed):
                self.crash(engine)
        self.clock.advance(STEP_MS)

    def crash(self, engine):
        """Crash an engine; another process takes its place later."""
        self.crashes_ms.append(self.clock.now_ms())
        self.engine_by_name.pop(engine.name)
        for world in self.worlds:
            world.connections.refusing_targets.add(engine.name)
        self._read_sent()
        engine.crash()
        self.clock.call_later(RETURN_MS, self._replace, engine)

    def list_late_sends(self, contact_ms):
        """Return when guilty requests were sent so long after crash 5."""
        since_ms = self.crashes_ms[:5][-1] + contact_ms
        return [
            sent_ms
            for request in self.requests
            if request.is_guilty
            for sent_ms in request.sent_ms
            if sent_ms > since_ms
        ]

    def compute_begun_share(self, from_ms, to_ms):
        """Return the share of sound requests whose answers began."""
        sound = [
            request
            for request in self.requests
            if not request.is_guilty and from_ms <= request.arrived_ms < to_ms
        ]
        assert len(sound) >= 20
        return sum(request.is_begun for request in sound) / len(sound)

    def count(self, spec):
        """Return the value of a counter, summed over the instances."""
        return sum(world.count(spec) for world in self.worlds)

    def _happens(self, per_s):
        return self.random.random() < per_s * STEP_MS / MS_PER_S

    def _choose_engine(self):
        names = sorted(self.engine_by_name)
        return self.engine_by_name[self.random.choice(names)]

    def _encode(self, attempt, parts):
        listed = b','.join(
            b'%s:%d' % (part.encode(), self.part_tokens) for part in parts
        )
        return (
            b'POST /ask/x HTTP/1.1\r\nHost: h.example\r\n'
            b'X-Cicadahoist-Attempt-Id: ' + attempt + b'\r\n'
            b'X-Cicadahoist-Deadline-Ms: 15000\r\n'
            b'X-Cicadahoist-Model: m\r\n'
            b'X-Cicadahoist-Token-Count: %d,100\r\n'
            b'X-Cicadahoist-Prompt-Prefix: ' % (4 * self.part_tokens) + listed
        ) + (
            b'\r\nAuthorization: Token k1\r\nContent-Length: %d\r\n\r\n'
            % len(attempt)
            + attempt
        )

    def _read_sent(self):
        """Start the runs of the attempts that were sent since the last call."""
        for number, world in enumerate(self.worlds):
            new = world.sent[self._read_counts[number] :]
            self._read_counts[number] = len(world.sent)
            for sent in new:
                self._start_run(sent)

    def _start_run(self, sent):
        engine = self.engine_by_name.get(sent.target)
        request = self._request_by_attempt.get(sent.attempt_id)
        if engine is None or request is None:
            return
        request.sent_ms.append(self.clock.now_ms())
        engine.transports[sent.transport] = sent
        event_count = self.random.choice(EVENT_COUNTS)
        engine.runs.append(Run(sent, request, event_count, self.clock.now_ms()))

    def _list(self, engine):
        self.engine_by_name[engine.name] = engine
        for world in self.worlds:
            world.add(target(engine.name, 'llm', engine.role))

    def _replace(self, engine):
        for world in self.worlds:
            world.context.fleet.directory.remove(engine.name)
        self._list(Engine(f'{engine.name}x', engine.role))
