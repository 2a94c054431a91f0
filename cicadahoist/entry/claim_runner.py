"""Runs a request that may not be repeated under its claim in the store."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.errors import (
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.ids import body_digest
from cicadahoist.log import get_logger
from cicadahoist.metrics import Metrics
from cicadahoist.outside.store import ABSENT, Store
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
from cicadahoist.protocol.claim_records import claim_name, decode_claim
from cicadahoist.protocol.claims import Claim
from cicadahoist.reasons import Outcome, Refusal, Retry
from cicadahoist.registry import Registry

logger = get_logger(__name__)

STORE_TIMEOUT_MS = 2000
REREAD_DELAY_MS = 100
IN_PROGRESS_RETRY_MS = 1000

_RETRY_BY_KIND = {
    StoreBusyError.kind: Retry.store_busy,
    VersionConflictError.kind: Retry.version_conflict,
}

Run = Callable[[], Awaitable[bytes]]
Perform = Callable[['ClaimRunner', Any], Awaitable[Any]]

_PERFORMERS: Registry[Perform] = Registry('claim action')


class ClaimRunner:
    """
    Executes the actions of one claim's state machine.

    :param store: the platform's object store
    :param clock: limits the time spent on the store
    :param metrics: counts repeated store calls
    :param claim: state machine of this request's claim
    :param run: runs the request and returns its encoded outcome
    :param deadline_ms: deadline of the route; a claim without an outcome
        that is not older is reported as still in progress
    """

    __slots__ = (
        '_answer',
        '_claim',
        '_claim_created_ms',
        '_clock',
        '_deadline_ms',
        '_metrics',
        '_run',
        '_store',
        '_store_deadline_ms',
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        claim: Claim,
        run: Run,
        deadline_ms: int,
    ) -> None:
        self._metrics = metrics
        self._deadline_ms = deadline_ms
        self._claim_created_ms = 0
        self._store = store
        self._clock = clock
        self._claim = claim
        self._run = run
        self._answer = b''
        self._store_deadline_ms = clock.now_ms() + STORE_TIMEOUT_MS

    async def run_or_replay(self) -> bytes:
        """
        Run the request, or return the recorded outcome of its first run.

        :raises RequestRefusedError: the claim forbids a run here, or the
            run failed
        """
        events: deque[Any] = deque((RequestArrived(),))
        while events:
            now_ms = self._clock.now_ms()
            for action in self._claim.handle(events.popleft(), now_ms):
                perform = _PERFORMERS.get(type(action).__name__)
                event = await perform(self, action)
                if event is not None:
                    events.append(event)
        return self._answer

    @_PERFORMERS.register('CreateClaim')
    async def create(self, action: CreateClaim) -> Any:
        """Create the claim object."""
        while self._clock.now_ms() < self._store_deadline_ms:
            try:
                version = await self._store.write(
                    action.name, action.payload, ABSENT
                )
            except VersionConflictError:
                return ClaimExists()
            except StoreUnavailableError as error:
                self._count_retry(error)
                return CreateUnknown()
            except StoreError as error:
                await self._pause_after(error)
            else:
                return ClaimCreated(version)
        return GiveUp()

    @_PERFORMERS.register('ReadClaim')
    async def read(self, action: ReadClaim) -> Any:
        """Read the claim object, with retries until the store deadline."""
        while self._clock.now_ms() < self._store_deadline_ms:
            try:
                stored = await self._store.read(action.name)
            except StoreError as error:
                await self._pause_after(error)
                continue
            if stored is None:
                return ClaimRead(ABSENT, b'')
            self._claim_created_ms = decode_claim(stored.payload).created_ms
            return ClaimRead(stored.version, stored.payload)
        return GiveUp()

    @_PERFORMERS.register('RunRequest')
    async def run(self, action: RunRequest) -> Any:
        """Run the request; release the claim if the request did not run."""
        try:
            self._answer = await self._run()
        except RequestRefusedError as refused:
            if refused.outcome is Outcome.not_run:
                await self._release(action.name)
            raise
        self._store_deadline_ms = self._clock.now_ms() + STORE_TIMEOUT_MS
        return RequestEnded(self._answer)

    @_PERFORMERS.register('WriteOutcome')
    async def record(self, action: WriteOutcome) -> Any:
        """Write the outcome into the claim object."""
        if self._clock.now_ms() >= self._store_deadline_ms:
            return GiveUp()
        try:
            await self._store.write(
                action.name, action.payload, action.expected
            )
        except StoreError as error:
            await self._pause_after(error)
            return OutcomeUnknown()
        return OutcomeWritten()

    @_PERFORMERS.register('RefuseClaim')
    async def refuse(self, action: RefuseClaim) -> Any:
        """End the request with a refusal."""
        age_ms = wall_ms() - self._claim_created_ms
        is_open = action.refusal is Refusal.claim_outcome_unknown
        if is_open and age_ms <= self._deadline_ms:
            raise RequestRefusedError(
                Refusal.claim_in_progress,
                'its first run goes on',
                retry_after_ms=IN_PROGRESS_RETRY_MS,
            )
        raise RequestRefusedError(action.refusal, 'it does not run here')

    @_PERFORMERS.register('ReplayOutcome')
    async def replay(self, action: ReplayOutcome) -> None:
        """Return the recorded outcome of the first run as the answer."""
        self._answer = action.outcome

    async def _pause_after(self, error: StoreError) -> None:
        self._count_retry(error)
        await self._clock.sleep(REREAD_DELAY_MS)

    def _count_retry(self, error: StoreError) -> None:
        reason = _RETRY_BY_KIND.get(error.kind, Retry.store_unavailable)
        self._metrics.count_retry(reason)

    async def _release(self, name: str) -> None:
        """Remove the claim object, so that the caller may retry the request."""
        try:
            await self._store.remove(name, self._claim.version)
        except StoreError as error:
            logger.bind(claim=name).warning(
                'claim object not removed: {0}', error
            )


def make_claim_name(workspace: str, route: str, idempotency_key: str) -> str:
    """Return the name of the claim object for an idempotency key."""
    digest = body_digest(idempotency_key.encode())
    return claim_name(workspace, route, digest)
