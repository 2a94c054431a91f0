"""Callers send non-repeatable requests through two entries."""

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
MAX_SENDS = 3
DUPLICATE_SHARE = 0.4
DIFFERENT_BODY_SHARE = 0.1
UNKNOWN = b'unknown'


class BookingService(Service):
    """A service that checks that no request runs twice or after a refusal."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.body_by_key: dict[str, str] = {}
        self.refused_attempts: set[int] = set()

    def run(self, key: str, attempt_number: int, body: str) -> bytes:
        """Run a request and return its answer."""
        if key in self.body_by_key:
            self._world.record_violation(f'{key} ran twice')
        if attempt_number in self.refused_attempts:
            self._world.record_violation(f'{key} ran after a refusal "not run"')
        self.body_by_key[key] = body
        return self.build_answer(key).encode()

    def build_answer(self, key: str) -> str:
        """Return the answer to the request that ran under a key."""
        return f'{key} {self.body_by_key[key]}'


class Entry(Node):
    """An entry that drives the real :class:`Claim`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self._nonce_count = 0

    def execute(self, action: 'AttemptAction') -> None:
        """Execute an action of one attempt."""
        action.attempt.execute(action.action)

    def receive_request(self, request: 'Request', attempt_number: int) -> None:
        """Claim and run a caller's request."""
        self._nonce_count += 1
        nonce = f'{self.incarnation}/{self._nonce_count}'
        kit = self.scenario.bind_kit(self, CLAIM_KIT)
        claim = Claim(request.object_name, nonce, request.body, kit)
        attempt = Attempt(self, claim, request, attempt_number)
        attempt.dispatch(RequestArrived())
        self.world.schedule(
            GIVE_UP_MS, lambda: self.deliver(lambda: attempt.dispatch(GiveUp()))
        )


class Request:
    """A request that a caller sends once or several times."""

    def __init__(self, key: str, body: str) -> None:
        self.key = key
        self.body = body
        self.sent_count = 0

    @property
    def object_name(self) -> str:
        """Name of the claim object."""
        return claim_name('w', 'bookings', self.key)


class Attempt:
    """One attempt of a request at one entry."""

    def __init__(
        self, entry: Entry, claim: Claim, request: Request, attempt_number: int
    ) -> None:
        self.entry = entry
        self.claim = claim
        self.request = request
        self.number = attempt_number
        self._start_number = entry.start_count

    def dispatch(self, event: Any) -> None:
        """Pass an event to the claim and execute its actions."""
        entry = self.entry
        if entry.is_alive and entry.start_count == self._start_number:
            actions = self.claim.handle(event, entry.world.now_ms)
            attempt_actions = [
                AttemptAction(self, action) for action in actions
            ]
            entry.execute_all(attempt_actions)

    def execute(self, action: Any) -> None:
        """Execute one action against the fakes."""
        scenario, store = self.entry.scenario, self.entry.scenario.store
        if isinstance(action, CreateClaim):
            self._call(
                store,
                lambda: store.write(action.name, action.payload, 0),
                self._on_claim_created,
                lambda: self.dispatch(CreateUnknown()),
            )
        elif isinstance(action, ReadClaim):
            self._call(
                store,
                lambda: store.read(action.name),
                lambda answer: self.dispatch(ClaimRead(*answer)),
                self._schedule_tick,
            )
        elif isinstance(action, RunRequest):
            request = self.request
            self._call(
                scenario.booking,
                lambda: scenario.booking.run(
                    request.key, self.number, request.body
                ),
                self._on_request_ended,
                lambda: self._on_request_ended(UNKNOWN),
            )
        elif isinstance(action, WriteOutcome):
            self._call(
                store,
                lambda: store.write(
                    action.name, action.payload, action.expected
                ),
                self._on_outcome_written,
                lambda: self.dispatch(OutcomeUnknown()),
            )
        elif isinstance(action, RefuseClaim):
            scenario.on_refused(self, action.refusal.outcome)
        elif isinstance(action, ReplayOutcome):
            scenario.on_answer(self.request, action.outcome)

    def _call(self, *arguments: Any) -> None:
        self.entry.call(*arguments)

    def _on_claim_created(self, version: int) -> None:
        if version == CONFLICT:
            self.dispatch(ClaimExists())
        else:
            self.dispatch(ClaimCreated(version))

    def _on_outcome_written(self, version: int) -> None:
        written = OutcomeWritten()
        self.dispatch(OutcomeUnknown() if version == CONFLICT else written)

    def _on_request_ended(self, answer: bytes) -> None:
        self.dispatch(RequestEnded(answer))
        self.entry.scenario.on_answer(self.request, answer)

    def _schedule_tick(self) -> None:
        entry = self.entry
        entry.world.schedule(
            RETRY_MS, lambda: entry.deliver(lambda: self.dispatch(Tick()))
        )


class AttemptAction:
    """An action together with the attempt that it belongs to."""

    def __init__(self, attempt: Attempt, action: Any) -> None:
        self.attempt = attempt
        self.action = action


@SCENARIOS.register('claim')
class ClaimScenario(Scenario):
    """Claims, checked at the service that runs the requests."""

    chart_names = ('claim',)

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.booking = BookingService(self.world)
        self.nodes = [Entry(self.world, name, self) for name in ('e1', 'e2')]
        self._attempt_count = 0
        self._request_count = 0
        self._answer_times_ms: list[int] = []
        self.world.schedule(0, self._submit_periodically)

    def submit(self, request: Request, node: Node | None = None) -> None:
        """Send a request to an entry, by default a random one."""
        entry = node or self.world.random.choice(self.nodes)
        self._attempt_count += 1
        request.sent_count += 1
        attempt_number = self._attempt_count
        entry.deliver(lambda: entry.receive_request(request, attempt_number))

    def on_refused(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record a refusal; the caller sends its request again."""
        if outcome is Outcome.not_run:
            self.booking.refused_attempts.add(attempt.number)
        if attempt.request.sent_count < MAX_SENDS:
            self.submit(attempt.request)

    def on_answer(self, request: Request, outcome: bytes) -> None:
        """Check an outcome that a caller receives."""
        self._answer_times_ms.append(self.world.now_ms)
        if outcome == UNKNOWN:
            if request.sent_count < MAX_SENDS:
                self.submit(request)
        elif outcome.decode() != f'{request.key} {request.body}':
            self.world.record_violation(f'{request.key} got {outcome.decode()}')

    def race_operators(self, node: Node) -> None:
        """Send one request through both entries at the same time."""
        request = self._create_request()
        for entry in self.nodes:
            self.world.schedule(
                0, lambda receiver=entry: self.submit(request, receiver)
            )

    def reclaim_target(self, node: Node) -> None:
        """Make the service unavailable for a time; open requests continue."""
        self.booking.is_down = True

        def heal() -> None:
            self.booking.is_down = False

        self.world.schedule(2500, heal)

    def check_progress(self, since_ms: int) -> None:
        """Check that requests are answered after the faults healed."""
        if not any(time_ms >= since_ms for time_ms in self._answer_times_ms):
            self.world.record_violation(
                f'no request was answered since {since_ms} ms'
            )

    def _create_request(self) -> Request:
        self._request_count += 1
        return Request(f'k{self._request_count}', 'a')

    def _submit_periodically(self) -> None:
        random = self.world.random
        request = self._create_request()
        self.submit(request)
        if random.random() < DUPLICATE_SHARE:
            self.submit(request)
        if random.random() < DIFFERENT_BODY_SHARE:
            self.submit(Request(request.key, 'b'))
        self.world.schedule(REQUEST_PERIOD_MS, self._submit_periodically)
