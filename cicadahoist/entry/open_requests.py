"""Requests that are open at this entry."""

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.entry.auth import Grant
from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.ids import new_nonce
from cicadahoist.reasons import Refusal


class OpenRequest:
    """
    One open request.

    ``may_have_run`` tells whether a byte of it may have reached a target.
    ``outlives_caller`` keeps it running when its caller is gone, so that its
    outcome gets recorded. ``has_claim`` tells whether a target is reserved
    for it, as it is suspected of crashing targets.

    :param caller: who asked
    :param grant: the right under which it runs
    :param digest: recognizes equal bodies on one route
    """

    __slots__ = (
        '_stop',
        'attempt',
        'billing_id',
        'caller',
        'digest',
        'grant',
        'has_claim',
        'may_have_run',
        'outlives_caller',
        'refused',
        'target',
    )

    def __init__(
        self, caller: CallerRequest, grant: Grant, digest: str
    ) -> None:
        self.caller = caller
        self.grant = grant
        self.digest = digest
        self.billing_id = new_nonce()
        self.attempt = ''
        self.target = ''
        self.may_have_run = False
        self.outlives_caller = False
        self.has_claim = False
        self.refused: RequestRefusedError | None = None
        self._stop: Callable[[], None] | None = None
        caller.on_gone(self._abandon)

    @property
    def is_over(self) -> bool:
        """Whether no further attempt is wanted."""
        return self.refused is not None or self._is_abandoned

    def new_attempt(self) -> str:
        """Return the identifier of a new attempt."""
        self.attempt = new_nonce()
        return self.attempt

    def end_attempt(self) -> None:
        """Note that no target works on the request."""
        self.target = ''
        self._stop = None

    def on_stop(self, stop: Callable[[], None]) -> None:
        """Set what ends the attempt or the wait in progress."""
        self._stop = stop
        if self.is_over:
            stop()

    async def pause(self, clock: Clock, delay_ms: float) -> None:
        """Wait, but no longer than the request goes on."""
        pause = clock.sleep(delay_ms)
        pause.addErrback(lambda failure: failure.trap(CancelledError))
        self.on_stop(pause.cancel)
        await pause

    def cut_off(self, refused: RequestRefusedError) -> None:
        """End the request with a refusal."""
        if self.refused is None:
            self.refused = refused
            self._stop_attempt()

    @property
    def was_ended_by_caller(self) -> bool:
        """Whether it ended by the caller's own doing."""
        if self.refused is None:
            return self.caller.gone
        return self.refused.reason is Refusal.key_withdrawn_midway

    @property
    def _is_abandoned(self) -> bool:
        return self.caller.gone and not self.outlives_caller

    def _abandon(self) -> None:
        if not self.outlives_caller:
            self._stop_attempt()

    def _stop_attempt(self) -> None:
        if self._stop is not None:
            self._stop()


class OpenRequests:
    """All open requests of this entry."""

    __slots__ = ('_requests', '_waiting')

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()
        self._waiting: list[Deferred[None]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: OpenRequest) -> None:
        """Add a request."""
        self._requests.add(request)

    def remove(self, request: OpenRequest) -> None:
        """Remove a request."""
        self._requests.discard(request)
        if not self._requests:
            waiting = self._waiting
            self._waiting = []
            for idle in waiting:
                idle.callback(None)

    def count_on(self, target: str) -> int:
        """Return how many requests run on a target."""
        return sum(request.target == target for request in self._requests)

    def digests_on(self, target: str) -> list[str]:
        """Return the digests of all bodies that run on a target."""
        digests = {
            request.digest
            for request in self._requests
            if request.target == target
        }
        return sorted(digests)

    def cut_off_where(
        self,
        matches: Callable[[Grant], bool],
        refused: RequestRefusedError,
    ) -> None:
        """End all requests whose grant matches."""
        for request in list(self._requests):
            if matches(request.grant):
                request.cut_off(refused)

    async def until_none(self) -> None:
        """Wait until no request is open."""
        if self._requests:
            idle: Deferred[None] = Deferred()
            self._waiting.append(idle)
            await idle
