"""The requests that this entry has open."""

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

    ``sent_count`` counts its attempts, except those that never reached their
    targets. ``outlives_caller`` keeps the request running after its caller has
    disconnected, so that its outcome is recorded. ``has_target_claim`` is set
    while a target is reserved for the request, as its body is a suspect.

    :param caller: the caller's HTTP request
    :param grant: the right under which the request runs
    :param digest: digest of the body, equal for repeated requests
    """

    __slots__ = (
        '_cancel',
        'billing_id',
        'caller',
        'digest',
        'expire_if_due',
        'grant',
        'has_target_claim',
        'outlives_caller',
        'refused',
        'sent_count',
        'targets',
    )

    def __init__(
        self, caller: CallerRequest, grant: Grant, digest: str
    ) -> None:
        self.caller = caller
        self.grant = grant
        self.digest = digest
        self.billing_id = new_nonce()
        # Targets of the attempts that are open.
        self.targets: set[str] = set()
        self.sent_count = 0
        self.outlives_caller = False
        self.has_target_claim = False
        self.refused: RequestRefusedError | None = None
        self._cancel: Callable[[], None] | None = None
        # Ends the request if its deadline has passed; the timer may be late.
        self.expire_if_due: Callable[[], None] = _ignore
        caller.on_gone(self._handle_caller_gone)

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of the request may have reached a target."""
        return self.sent_count > 0

    @property
    def is_over(self) -> bool:
        """Whether no further attempt is wanted."""
        return self.refused is not None or self._is_abandoned

    def end_attempt(self, target: str) -> None:
        """Remove the target of an attempt, with the last the canceller."""
        self.targets.discard(target)
        if not self.targets:
            self._cancel = None

    def set_canceller(self, cancel: Callable[[], None]) -> None:
        """
        Set the function that cancels the current attempts or wait.

        It is called at once if the request is over already.
        """
        self._cancel = cancel
        if self.is_over:
            cancel()

    async def pause(self, clock: Clock, delay_ms: float) -> None:
        """Sleep for a delay, or until the request is over."""
        pause = clock.sleep(delay_ms)
        pause.addErrback(lambda failure: failure.trap(CancelledError))
        self.set_canceller(pause.cancel)
        await pause

    def abort(self, refused: RequestRefusedError) -> None:
        """End the request with a refusal, unless it has one already."""
        if self.refused is None:
            self.refused = refused
            self._cancel_attempt()

    @property
    def was_ended_by_caller(self) -> bool:
        """Whether the caller disconnected or its key was withdrawn."""
        if self.refused is None:
            return self.caller.is_gone
        return self.refused.reason is Refusal.key_withdrawn_midway

    @property
    def _is_abandoned(self) -> bool:
        return self.caller.is_gone and not self.outlives_caller

    def _handle_caller_gone(self) -> None:
        if not self.outlives_caller:
            self._cancel_attempt()

    def _cancel_attempt(self) -> None:
        if self._cancel is not None:
            self._cancel()


def _ignore() -> None:
    """Do nothing: the request has no deadline yet."""


class OpenRequests:
    """All open requests of this entry."""

    __slots__ = ('_idle_waiters', '_requests')

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()
        self._idle_waiters: list[Deferred[None]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: OpenRequest) -> None:
        """Add a request."""
        self._requests.add(request)

    def remove(self, request: OpenRequest) -> None:
        """Remove a request."""
        self._requests.discard(request)
        if not self._requests:
            idle_waiters = self._idle_waiters
            self._idle_waiters = []
            for idle in idle_waiters:
                idle.callback(None)

    def count_on(self, target: str) -> int:
        """Return the count of requests that run on a target."""
        return sum(target in request.targets for request in self._requests)

    def list_digests_on(self, target: str) -> list[str]:
        """Return the digests of all bodies that run on a target."""
        digests = {
            request.digest
            for request in self._requests
            if target in request.targets
        }
        return sorted(digests)

    def abort_where(
        self,
        matches: Callable[[Grant], bool],
        refused: RequestRefusedError,
    ) -> None:
        """End all requests with a matching grant with a refusal."""
        for request in list(self._requests):
            if matches(request.grant):
                request.abort(refused)

    async def wait_until_none(self) -> None:
        """Wait until no request is open."""
        if self._requests:
            idle: Deferred[None] = Deferred()
            self._idle_waiters.append(idle)
            await idle
