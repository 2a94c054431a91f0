"""
Opens attempts of one request, and further ones while their targets are silent.

A sound target may fall silent for a time. An attempt is therefore left only
when another target has accepted the request, never in the hope of one.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from cicadahoist.entry.attempts import Attempts
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.opening import AttemptSender, Opening
from cicadahoist.entry.sent_attempt import SentAttempt
from cicadahoist.entry.stall_watch import StallWatch
from cicadahoist.log import get_logger
from cicadahoist.outside.http import TargetResponse
from cicadahoist.reasons import Retry

logger = get_logger(__name__)


class OpenedAttempt:
    """
    An attempt that its target has accepted.

    :param sent: the attempt
    :param response: the answer of the target, without its body
    """

    __slots__ = ('response', 'sent')

    def __init__(self, sent: SentAttempt, response: TargetResponse) -> None:
        self.sent = sent
        self.response = response


class Takeover:
    """
    Opens attempts until a target accepts the request.

    It serves the first attempt and those that take over from it, be it before
    its answer or in the middle of it. Of several open attempts, the first that
    is accepted wins, and the others are dropped.

    :param context: shared objects of the entry
    :param request: the open request
    :param attempts: attempts of the request
    :param sender: sends the attempts
    """

    __slots__ = (
        '_attempts',
        '_context',
        '_is_closed',
        '_on_accepted',
        '_openings',
        '_request',
        '_result',
        '_sender',
        '_streaming_watch',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        attempts: Attempts,
        sender: AttemptSender,
    ) -> None:
        self._context = context
        self._request = request
        self._attempts = attempts
        self._sender = sender
        self._openings: list[Opening] = []
        self._result: Deferred[OpenedAttempt | Retry] = Deferred()
        self._is_closed = False
        # The watch of the attempt whose answer is being relayed, if any.
        self._streaming_watch: StallWatch | None = None
        self._on_accepted: Callable[[], None] | None = None

    async def open(self, sent: SentAttempt) -> OpenedAttempt | Retry:
        """
        Open an attempt, and further ones while their targets are silent.

        :return: the attempt that was accepted, or why another is needed
        """
        self._start(sent)
        return await self._wait()

    def guard(self, watch: StallWatch, on_accepted: Callable[[], None]) -> None:
        """
        Prepare to take over from an attempt whose answer is being relayed.

        :param watch: watch of the attempt
        :param on_accepted: called when another target has accepted the request
        """
        self._streaming_watch = watch
        self._on_accepted = on_accepted

    def add_attempt(self) -> None:
        """Start another attempt if all open ones are on silent targets."""
        if self._is_closed or not self._is_silent():
            return
        sent = self._attempts.begin_takeover()
        if sent is not None:
            self._start(sent)

    def withdraw(self) -> None:
        """Drop the attempts beside one whose target sends data again."""
        openings = self._openings
        self._openings = []
        for opening in openings:
            if opening.is_silent:
                self._attempts.end_attempt(opening.sent, 0, Retry.target_frozen)
            else:
                self._attempts.drop_attempt(opening.sent)
            opening.drop()

    async def finish(self, retry: Retry) -> OpenedAttempt | Retry:
        """
        Return what follows the guarded attempt, which has ended.

        :param retry: why another attempt is needed, if none is open
        :return: the attempt that was accepted, or why another is needed
        """
        self._streaming_watch = None
        self._on_accepted = None
        if self._openings or self._result.called:
            return await self._wait()
        self.close()
        return retry

    def close(self) -> None:
        """Drop all attempts that were not accepted."""
        self._is_closed = True
        self.withdraw()

    def handle_accepted(
        self, opening: Opening, response: TargetResponse
    ) -> None:
        """Let the attempt win."""
        self._openings.remove(opening)
        opening.sent.is_accepted = True
        self._finish(OpenedAttempt(opening.sent, response))
        if self._on_accepted is not None:
            self._on_accepted()

    def handle_failed(self, opening: Opening, retry: Retry) -> None:
        """End the attempt, and the takeover if it was the last one."""
        self._openings.remove(opening)
        self._attempts.end_attempt(opening.sent, 0, retry)
        if self._openings or self._streaming_watch is not None:
            self.add_attempt()
        else:
            self._finish(retry)

    def handle_error(self, opening: Opening, failure: Failure) -> None:
        """End the takeover; an answer that is being relayed goes on."""
        if opening in self._openings:
            self._openings.remove(opening)
            self._attempts.end_attempt(opening.sent, 0, Retry.target_failed)
        self.close()
        if self._streaming_watch is None and not self._result.called:
            self._result.errback(failure)
        else:
            logger.error('takeover failed: {0}', failure)

    async def _wait(self) -> OpenedAttempt | Retry:
        self._request.set_canceller(self._cancel)
        try:
            return await self._result
        finally:
            self.close()

    def _cancel(self) -> None:
        """End all attempts, as the request is over."""
        if not self._is_closed:
            self._finish(Retry.stream_broken)

    def _is_silent(self) -> bool:
        watch = self._streaming_watch
        if watch is not None and not watch.is_silent:
            return False
        return all(opening.is_silent for opening in self._openings)

    def _start(self, sent: SentAttempt) -> None:
        opening = Opening(self._context, sent, self)
        self._openings.append(opening)
        opening.start(self._sender)

    def _finish(self, result: OpenedAttempt | Retry) -> None:
        self.close()
        self._result.callback(result)
