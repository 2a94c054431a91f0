"""Lets the runs of a request pass within the quota of its workspace."""

from collections.abc import Callable

from cicadahoist.reasons import Refusal
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.open_attempts import OpenAttempts
from cicadahoist.serving.quota_asks import Receipt
from cicadahoist.serving.quota_charge import QuotaCharge
from cicadahoist.serving.reply import Reply
from cicadahoist.serving.retry_allowance import RetryAllowance


class QuotaGate:
    """
    Takes the tokens of a request at its admission and for each further run.

    :param charge: the tokens of the request, none if it counts to no quota
    :param reply: the reply to the request
    :param open_attempts: open attempts of the request
    :param allowance: retries of the request
    :param is_awaited: returns whether to go on; if not, ends the request
    :param refuse: refuses the request, or fails it if it may have run
    """

    __slots__ = (
        '_allowance',
        '_charge',
        '_is_awaited',
        '_open_attempts',
        '_receipt_by_attempt',
        '_refuse',
    )

    def __init__(
        self,
        charge: QuotaCharge | None,
        reply: Reply,
        open_attempts: OpenAttempts,
        allowance: RetryAllowance,
        is_awaited: Callable[[], bool],
        refuse: Callable[[Refusal, int], None],
    ) -> None:
        self._charge = charge
        self._open_attempts = open_attempts
        self._allowance = allowance
        self._is_awaited = is_awaited
        self._refuse = refuse
        self._receipt_by_attempt: dict[Attempt, Receipt] = {}
        if charge is not None:
            reply.on_end = charge.close

    @property
    def is_open(self) -> bool:
        """Whether the request counts to no quota."""
        return self._charge is None

    async def admit(self, start: Callable[[], None]) -> None:
        """
        Start to handle the request within its quota, or refuse it.

        :param start: starts it; not called if the request has ended meanwhile
        """
        if self._charge is None:
            start()
            return
        wait_ms = await self._charge.prepare()
        if not self._is_awaited():
            return
        if wait_ms is None:
            start()
        else:
            self._refuse(Refusal.quota_exceeded, wait_ms)

    async def prepare(self, attempt: Attempt) -> bool:
        """
        Get the tokens of an attempt; the first run has those of the admission.

        :return: false if the attempt must not be sent
        """
        if self._charge is None or not attempt.may_run:
            return True
        oldest = self._open_attempts.get_oldest()
        wait_ms = await self._charge.prepare()
        if not self._is_awaited():
            return False
        if oldest is not None:
            # The attempt beside which this one is to be sent may have ended,
            # and decided how the request goes on.
            if wait_ms is not None or not self._open_attempts.contains(oldest):
                self._allowance.return_retry()
                return False
        elif wait_ms is not None:
            self._refuse(Refusal.quota_exceeded, wait_ms)
            return False
        receipt = self._charge.spend()
        if receipt is not None:
            self._receipt_by_attempt[attempt] = receipt
        return True

    def settle(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Keep the tokens of a run that no target has begun."""
        if self._charge is None:
            return
        has_run = attempt.is_sent and end.outcome is not AttemptOutcome.not_run
        receipt = self._receipt_by_attempt.pop(attempt, None)
        if receipt is not None:
            self._charge.settle(receipt, has_run=has_run)
        elif has_run:
            self._charge.mark_begun()
