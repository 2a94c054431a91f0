"""Runs a request that may not be repeated under its claim in the store."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.errors import (
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.ids import body_digest, new_nonce
from cicadahoist.log import get_logger
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
from cicadahoist.protocol.claim_records import claim_name
from cicadahoist.protocol.claims import Claim
from cicadahoist.reasons import Outcome
from cicadahoist.registry import Registry

logger = get_logger(__name__)

CLAIM_LIMIT_MS = 2000
REREAD_DELAY_MS = 100

Run = Callable[[], Awaitable[bytes]]
Perform = Callable[['ClaimRunner', Any], Awaitable[Any]]

_PERFORMERS: Registry[Perform] = Registry('claim action')


class ClaimRunner:
    """
    Carries out the actions of one claim.

    :param store: the platform's store
    :param clock: times the store's answers
    :param claim: the claim of this request
    :param run: sends the request and returns its encoded outcome
    """

    __slots__ = ('_answer', '_claim', '_clock', '_limit_ms', '_run', '_store')

    def __init__(
        self, store: Store, clock: Clock, claim: Claim, run: Run
    ) -> None:
        self._store = store
        self._clock = clock
        self._claim = claim
        self._run = run
        self._answer = b''
        self._limit_ms = clock.now_ms() + CLAIM_LIMIT_MS

    @classmethod
    def for_request(
        cls, store: Store, clock: Clock, name: str, digest: str, run: Run
    ) -> 'ClaimRunner':
        """
        Return a runner for a request that has just arrived.

        :param name: name of the claim object
        :param digest: digest of what the claim is for
        """
        claim = Claim(name, new_nonce(), digest, created_ms=wall_ms())
        return cls(store, clock, claim, run)

    async def outcome(self) -> bytes:
        """
        Run the request, or return the outcome of its first run.

        :raises RequestRefusedError: it does not run here, or failed
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
        try:
            version = await self._store.write(
                action.name, action.payload, ABSENT
            )
        except VersionConflictError:
            return ClaimExists()
        except StoreUnavailableError:
            return CreateUnknown()
        except StoreError:
            return GiveUp()
        return ClaimCreated(version)

    @_PERFORMERS.register('ReadClaim')
    async def read(self, action: ReadClaim) -> Any:
        """Read the claim object until the time for it is over."""
        while self._clock.now_ms() < self._limit_ms:
            try:
                stored = await self._store.read(action.name)
            except StoreError:
                await self._clock.sleep(REREAD_DELAY_MS)
                continue
            if stored is None:
                return ClaimRead(ABSENT, b'')
            return ClaimRead(stored.version, stored.payload)
        return GiveUp()

    @_PERFORMERS.register('RunRequest')
    async def run(self, action: RunRequest) -> Any:
        """Run the request; one that did not run gives its claim back."""
        try:
            self._answer = await self._run()
        except RequestRefusedError as refused:
            if refused.outcome is Outcome.not_run:
                await self._release(action.name)
            raise
        self._limit_ms = self._clock.now_ms() + CLAIM_LIMIT_MS
        return RequestEnded(self._answer)

    @_PERFORMERS.register('WriteOutcome')
    async def record(self, action: WriteOutcome) -> Any:
        """Write the outcome into the claim object."""
        if self._clock.now_ms() >= self._limit_ms:
            return GiveUp()
        try:
            await self._store.write(
                action.name, action.payload, action.expected
            )
        except VersionConflictError:
            return OutcomeUnknown()
        except StoreError:
            await self._clock.sleep(REREAD_DELAY_MS)
            return OutcomeUnknown()
        return OutcomeWritten()

    @_PERFORMERS.register('RefuseClaim')
    async def refuse(self, action: RefuseClaim) -> Any:
        """End the request with a refusal."""
        raise RequestRefusedError(action.refusal, 'it does not run here')

    @_PERFORMERS.register('ReplayOutcome')
    async def replay(self, action: ReplayOutcome) -> None:
        """Answer with the outcome of the first run."""
        self._answer = action.outcome

    async def _release(self, name: str) -> None:
        """Remove the claim, so that the caller may send the request again."""
        try:
            await self._store.remove(name, self._claim.version)
        except StoreError as error:
            logger.bind(claim=name).warning('claim not released: {0}', error)


def claim_object(workspace: str, route: str, idempotency_key: str) -> str:
    """Return the name of the claim object of a caller's request."""
    digest = body_digest(idempotency_key.encode())
    return claim_name(workspace, route, digest)
