"""Quarantine of requests that repeatedly crash their targets."""

from cicadahoist.ids import body_digest
from cicadahoist.log import get_logger
from cicadahoist.policy.crash_blame import Blame
from cicadahoist.policy.stream_continuity.answer_check import STRAY_FLAWS
from cicadahoist.requests import InboundRequest
from cicadahoist.serving.attempt import SILENT, AttemptEnd
from cicadahoist.serving.context import ServingContext

logger = get_logger(__name__)

# A crashed target does not answer for seconds; one that answers within this
# time has only broken off a connection.
CRASH_CHECK_MS = 1000
# Details of losses that are not followed by a check.
_UNCHECKED = frozenset((SILENT, *(flaw.value for flaw in STRAY_FLAWS)))


class CrashWatch:
    """
    Blames one request for crashes of its targets.

    :param context: shared parts of the data path
    :param request: the caller's request
    """

    __slots__ = ('_context', '_request')

    def __init__(
        self, context: ServingContext, request: InboundRequest
    ) -> None:
        self._context = context
        self._request = request

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is blamed for too many crashes to be sent."""
        blames = self._context.gossip.blames
        if blames.is_empty:
            return False
        now_ms = self._context.true_time.now_ms()
        return blames.is_quarantined(self._compute_digest(), now_ms)

    def record_loss(self, target: str, end: AttemptEnd) -> None:
        """Schedule the check of a target that broke off the request."""
        if end.detail in _UNCHECKED:
            return
        check = self._check if end.is_relayed else self._check_direct
        self._context.clock.call_later(
            CRASH_CHECK_MS, check, target, self._context.clock.now_ms()
        )

    def _check_direct(self, target: str, lost_ms: int) -> None:
        """Blame the request unless only the path to the target was lost."""
        fleet = self._context.fleet
        path = fleet.paths.get(target)
        if path.has_crashed or not (path.is_bypassed or fleet.is_cut_off()):
            self._check(target, lost_ms)

    def _check(self, target: str, lost_ms: int) -> None:
        """Blame the request if the target has been silent since the loss."""
        fleet = self._context.fleet
        if fleet.answer_watch.has_answered_since(target, lost_ms):
            return
        now_ms = self._context.clock.now_ms()
        lost_true_ms = self._context.true_time.now_ms() - (now_ms - lost_ms)
        blame = Blame(self._compute_digest(), target, lost_true_ms)
        if self._context.gossip.blames.add(blame):
            logger.bind(
                request=self._request.attempt_id,
                target=target,
                digest=blame.digest,
            ).info('request blamed for a crash')
            self._context.gossip.on_blame(blame)

    def _compute_digest(self) -> str:
        """Return the digest that the request shares with its retries."""
        request = self._request
        return body_digest(
            b'\0'.join((request.path, request.key.encode(), request.body))
        )
