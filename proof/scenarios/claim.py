"""Callers send requests that may not be repeated through two entries."""

from typing import Any

from cicadahoist.protocol.claim_events import (
    ClaimCreated,
    ClaimExists,
    ClaimRead,
    CreateClaim,
    CreateUnknown,
    GiveUp,
    OutcomeUnknown,
    OutcomeWritten,
    ReadClaim,
    RefuseClaim,
    ReplayOutcome,
    RequestArrived,
    RequestEnded,
    RunRequest,
    WriteOutcome,
)
from cicadahoist.protocol.claim_records import claim_name
from cicadahoist.protocol.claims import CLAIM_KIT, Claim
from cicadahoist.protocol.events import Tick
from cicadahoist.reasons import Outcome
from proof.scenario import SCENARIOS, Scenario
from proof.store import CONFLICT
from proof.world import Node, Service, World

REQUEST_PERIOD_MS = 150
GIVE_UP_MS = 1500
RETRY_MS = 200
RESENDS = 3
TWICE_SHARE = 0.4
OTHER_BODY_SHARE = 0.1
UNKNOWN = b'unknown'


class Booking(Service):
    """A plain service that counts what runs."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.runs_by_key: dict[str, str] = {}
        self.refused: set[int] = set()

    def run(self, key: str, attempt: int, body: str) -> bytes:
        """Run a request and return its answer."""
        if key in self.runs_by_key:
            self._world.violate(f'{key} ran twice')
        if attempt in self.refused:
            self._world.violate(f'{key} ran after a refusal "not run"')
        self.runs_by_key[key] = body
        return self.answer(key).encode()

    def answer(self, key: str) -> str:
        """Return the answer to the request that ran."""
        return f'{key} {self.runs_by_key[key]}'


class Entry(Node):
    """An entry that drives the real :class:`Claim`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self._drawn = 0

    def execute(self, action: 'Bound') -> None:
        """Carry out an action of one attempt."""
        action.running.execute(action.action)

    def take(self, request: 'Request', attempt: int) -> None:
        """Take a caller's request."""
        self._drawn += 1
        nonce = f'{self.incarnation}/{self._drawn}'
        kit = self.scenario.kit(self, CLAIM_KIT)
        claim = Claim(request.object_name, nonce, request.body, kit)
        running = Running(self, claim, request, attempt)
        running.offer(RequestArrived())
        self.world.later(
            GIVE_UP_MS, lambda: self.deliver(lambda: running.offer(GiveUp()))
        )


class Request:
    """A request of a caller, sent once or several times."""

    def __init__(self, key: str, body: str) -> None:
        self.key = key
        self.body = body
        self.sent = 0

    @property
    def object_name(self) -> str:
        """Name of the claim."""
        return claim_name('w', 'bookings', self.key)


class Running:
    """One attempt of a request at one entry."""

    def __init__(
        self, entry: Entry, claim: Claim, request: Request, attempt: int
    ) -> None:
        self.entry = entry
        self.claim = claim
        self.request = request
        self.attempt = attempt
        self._started = entry.starts

    def offer(self, event: Any) -> None:
        """Pass an event to the claim and carry out its actions."""
        entry = self.entry
        if entry.alive and entry.starts == self._started:
            actions = self.claim.handle(event, entry.world.now_ms)
            bound = [Bound(self, action) for action in actions]
            entry.carry_out(bound)

    def execute(self, action: Any) -> None:
        """Carry out one action against the fakes."""
        scenario, store = self.entry.scenario, self.entry.scenario.store
        if isinstance(action, CreateClaim):
            self._call(
                store,
                lambda: store.write(action.name, action.payload, 0),
                self._on_create,
                lambda: self.offer(CreateUnknown()),
            )
        elif isinstance(action, ReadClaim):
            self._call(
                store,
                lambda: store.read(action.name),
                lambda answer: self.offer(ClaimRead(*answer)),
                self._tick_later,
            )
        elif isinstance(action, RunRequest):
            request = self.request
            self._call(
                scenario.booking,
                lambda: scenario.booking.run(
                    request.key, self.attempt, request.body
                ),
                self._on_ran,
                lambda: self._on_ran(UNKNOWN),
            )
        elif isinstance(action, WriteOutcome):
            self._call(
                store,
                lambda: store.write(
                    action.name, action.payload, action.expected
                ),
                self._on_written,
                lambda: self.offer(OutcomeUnknown()),
            )
        elif isinstance(action, RefuseClaim):
            scenario.on_refused(self, action.refusal.outcome)
        elif isinstance(action, ReplayOutcome):
            scenario.on_answer(self.request, action.outcome)

    def _call(self, *arguments: Any) -> None:
        self.entry.call(*arguments)

    def _on_create(self, version: int) -> None:
        if version == CONFLICT:
            self.offer(ClaimExists())
        else:
            self.offer(ClaimCreated(version))

    def _on_written(self, version: int) -> None:
        written = OutcomeWritten()
        self.offer(OutcomeUnknown() if version == CONFLICT else written)

    def _on_ran(self, answer: bytes) -> None:
        self.offer(RequestEnded(answer))
        self.entry.scenario.on_answer(self.request, answer)

    def _tick_later(self) -> None:
        entry = self.entry
        entry.world.later(
            RETRY_MS, lambda: entry.deliver(lambda: self.offer(Tick()))
        )


class Bound:
    """An action together with the attempt that it belongs to."""

    def __init__(self, running: Running, action: Any) -> None:
        self.running = running
        self.action = action


@SCENARIOS.register('claim')
class ClaimScenario(Scenario):
    """Claims; checked at the service that runs the requests."""

    charts = ('claim',)

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.booking = Booking(self.world)
        self.nodes = [Entry(self.world, name, self) for name in ('e1', 'e2')]
        self._attempts = 0
        self._requests = 0
        self._answered: list[int] = []
        self.world.later(0, self._arrive)

    def submit(self, request: Request, node: Node | None = None) -> None:
        """Send a request to an entry."""
        entry = node or self.world.random.choice(self.nodes)
        self._attempts += 1
        request.sent += 1
        attempt = self._attempts
        entry.deliver(lambda: entry.take(request, attempt))

    def on_refused(self, running: Running, outcome: Outcome) -> None:
        """A caller is refused, and sends its request again."""
        if outcome is Outcome.not_run:
            self.booking.refused.add(running.attempt)
        if running.request.sent < RESENDS:
            self.submit(running.request)

    def on_answer(self, request: Request, outcome: bytes) -> None:
        """A caller gets an outcome."""
        self._answered.append(self.world.now_ms)
        if outcome == UNKNOWN:
            if request.sent < RESENDS:
                self.submit(request)
        elif outcome.decode() != f'{request.key} {request.body}':
            self.world.violate(f'{request.key} got {outcome.decode()}')

    def race(self, node: Node) -> None:
        """Send one request through both entries at once."""
        request = self._new_request()
        for entry in self.nodes:
            self.world.later(0, lambda to=entry: self.submit(request, to))

    def reclaim(self, node: Node) -> None:
        """Take the service away for a time; what it runs goes on."""
        self.booking.down = True

        def heal() -> None:
            self.booking.down = False

        self.world.later(2500, heal)

    def check_progress(self, since_ms: int) -> None:
        """Requests must be answered once all has healed."""
        if not any(at >= since_ms for at in self._answered):
            self.world.violate(f'no request was answered since {since_ms} ms')

    def _new_request(self) -> Request:
        self._requests += 1
        return Request(f'k{self._requests}', 'a')

    def _arrive(self) -> None:
        random = self.world.random
        request = self._new_request()
        self.submit(request)
        if random.random() < TWICE_SHARE:
            self.submit(request)
        if random.random() < OTHER_BODY_SHARE:
            self.submit(Request(request.key, 'b'))
        self.world.later(REQUEST_PERIOD_MS, self._arrive)
