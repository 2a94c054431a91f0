"""One attempt from its sending until its target accepts or rejects it."""

from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.sent_attempt import SentAttempt
from cicadahoist.entry.stall_watch import StallWatch
from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.log import get_logger
from cicadahoist.outside.http import TargetResponse
from cicadahoist.reasons import Retry

logger = get_logger(__name__)


class AttemptSender(Protocol):
    """Sends the attempts of one request."""

    async def encode_body(self, sent: SentAttempt) -> bytes:
        """Return the body for a target; it has a time limit of its own."""

    async def send(self, sent: SentAttempt, body: bytes) -> TargetResponse:
        """Send a body to a target and return its answer."""

    def find_rejection(self, response: TargetResponse) -> Retry | None:
        """Return why a target did not accept the request, or none if so."""


class OpeningObserver(Protocol):
    """Learns how an opening goes; nothing after it was dropped."""

    def add_attempt(self) -> None:
        """Handle a target that is found silent; may be called repeatedly."""

    def handle_accepted(
        self, opening: 'Opening', response: TargetResponse
    ) -> None:
        """Handle the answer of a target that accepted the attempt."""

    def handle_failed(self, opening: 'Opening', retry: Retry) -> None:
        """Handle an attempt that was rejected or lost."""

    def handle_error(self, opening: 'Opening', failure: Failure) -> None:
        """Handle an unexpected error."""


class Opening:
    """
    One attempt whose target has not answered yet.

    :param context: shared objects of the entry
    :param sent: the attempt
    :param observer: learns how the opening goes
    """

    __slots__ = (
        '_context',
        '_is_dropped',
        '_observer',
        '_running',
        '_watch',
        'sent',
    )

    def __init__(
        self,
        context: EntryContext,
        sent: SentAttempt,
        observer: OpeningObserver,
    ) -> None:
        self.sent = sent
        self._context = context
        self._observer = observer
        self._is_dropped = False
        self._running: Deferred[None] | None = None
        self._watch: StallWatch | None = None

    @property
    def is_silent(self) -> bool:
        """Whether the target was found silent."""
        return self._watch is not None and self._watch.is_silent

    def start(self, sender: AttemptSender) -> None:
        """Send the attempt."""
        running = Deferred.fromCoroutine(self._run(sender))
        running.addErrback(self._handle_error)
        self._running = running

    def drop(self) -> None:
        """Let go of the attempt."""
        self._is_dropped = True
        if self._running is not None:
            self._running.cancel()
        self.sent.cancel_on_target()

    async def _run(self, sender: AttemptSender) -> None:
        body = await sender.encode_body(self.sent)
        if self._is_dropped:
            return
        try:
            response = await self._send_watched(sender, body)
        except NotSentError:
            self._fail(Retry.connect_failed)
            return
        except LostAfterSendError:
            self._fail(Retry.stream_broken)
            return
        retry = sender.find_rejection(response)
        if self._is_dropped or retry is not None:
            response.abort()
        if retry is not None:
            self._fail(retry)
        elif not self._is_dropped:
            self._observer.handle_accepted(self, response)

    async def _send_watched(
        self, sender: AttemptSender, body: bytes
    ) -> TargetResponse:
        started_ms = self._context.clock.now_ms()
        sending = Deferred.fromCoroutine(sender.send(self.sent, body))
        self._watch = StallWatch(
            self._context,
            self.sent.target,
            self.sent.attempt_id,
            lambda: started_ms,
            on_silent=self._observer.add_attempt,
            on_lost=sending.cancel,
        )
        try:
            return await sending
        finally:
            self._watch.stop()

    def _fail(self, retry: Retry) -> None:
        if not self._is_dropped:
            self._observer.handle_failed(self, retry)

    def _handle_error(self, failure: Failure) -> None:
        if self._is_dropped:
            logger.debug('dropped attempt failed: {0}', failure.value)
        else:
            self._observer.handle_error(self, failure)
