"""Quarantine of requests that repeatedly crash their targets."""

import msgspec

from cicadahoist.ids import body_digest
from cicadahoist.listings import Listing
from cicadahoist.requests import InboundRequest, ModelWork
from cicadahoist.serving.attempt import AttemptEnd
from cicadahoist.serving.attempt_results import is_broken_off
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.target_crashes import LostAttempt


class CrashWatch:
    """
    Reports what targets broke off of one request, which is blamed for crashes.

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

    def record_end(self, listing: Listing, end: AttemptEnd) -> None:
        """Report an attempt that was sent, if its target broke it off."""
        if not is_broken_off(end):
            return
        fleet = self._context.fleet
        lost = LostAttempt(
            self._request.attempt_id,
            self._compute_digest(),
            self._context.clock.now_ms(),
        )
        fleet.target_crashes.record_loss(fleet.connections, listing, lost)

    def _compute_digest(self) -> str:
        """
        Return the digest that the request shares with its retries.

        What a caller may state otherwise in a retry is left out: the id of the
        attempt, the time left, where a stream is taken up, and estimates.
        """
        request = self._request
        return body_digest(
            b'\0'.join(
                (
                    request.path,
                    request.key.encode(),
                    _encode_prompt(request.work),
                    request.body,
                )
            )
        )


def _encode_prompt(work: ModelWork | None) -> bytes:
    """Return what names a prompt, which the body of a stream may not."""
    if work is None:
        return b''
    return msgspec.json.encode((work.model, work.prompt_tokens, work.parts))
