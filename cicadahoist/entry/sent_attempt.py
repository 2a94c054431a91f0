"""One attempt that was sent to a target, and the records of its course."""

from twisted.internet.defer import Deferred

from cicadahoist.entry.context import EntryContext
from cicadahoist.log import get_logger
from cicadahoist.table import Target

logger = get_logger(__name__)


class SentAttempt:
    """
    One attempt that is open on a target.

    ``is_accepted`` is set once the target has answered.

    :param context: shared objects of the entry
    :param attempt_id: id of the attempt
    :param target: its target
    """

    __slots__ = ('_context', 'attempt_id', 'is_accepted', 'target')

    def __init__(
        self, context: EntryContext, attempt_id: str, target: Target
    ) -> None:
        self._context = context
        self.attempt_id = attempt_id
        self.target = target
        self.is_accepted = False

    def record_first_token(self) -> None:
        """Record that the attempt has finished its prefill."""
        self._context.dispatcher.loads.record_first_token(
            self.attempt_id, self._context.clock.now_ms()
        )

    def record_end(self, output_tokens: int, *, is_failed: bool) -> None:
        """
        Remove the attempt from the load of its target.

        :param output_tokens: tokens of a complete answer
        :param is_failed: whether the target failed it
        """
        self._context.dispatcher.loads.record_end(
            self.attempt_id,
            self._context.clock.now_ms(),
            output_tokens=output_tokens,
            failed=is_failed,
        )

    def report_crash(self, *, is_silent: bool) -> None:
        """
        Eject the target and find out whether it crashed.

        :param is_silent: whether the target was left because it was silent; it
            may then never have read an attempt that it has not accepted
        """
        self._context.dispatcher.loads.record_crash(
            self.target.name, self._context.clock.now_ms()
        )
        self._context.isolation.investigate_crash(
            self.target,
            self.attempt_id,
            is_known=self.is_accepted or not is_silent,
        )

    def cancel_on_target(self) -> None:
        """Cancel the abandoned attempt on its target, without waiting."""
        cancelling = Deferred.fromCoroutine(
            self._context.engines.cancel(self.target, self.attempt_id)
        )
        cancelling.addErrback(
            lambda failure: logger.bind(target=self.target.name).debug(
                'attempt not cancelled: {0}', failure.value
            )
        )
