"""Asks the homes of quotas for the tokens of requests."""

from itertools import count
from typing import Any, NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.policy.quotas.home import Verdict
from cicadahoist.policy.quotas.roster import SUSPICION_MS, QuotaRoster
from cicadahoist.serving.quota_messages import Answer, Question, Return
from cicadahoist.serving.quota_outbox import QuotaOutbox

logger = get_logger(__name__)

# An answer takes 0.4 to 4 ms; a datagram that is lost is sent once more.
ANSWER_TIMEOUT_MS = 60
TRIES_PER_HOME = 2


class Receipt(msgspec.Struct, frozen=True):
    """
    A grant that can be returned.

    :param home: instance that granted it
    :param number: number of the question
    """

    home: str
    number: int


class _Pending(NamedTuple):
    home: str
    waiting: Deferred[Any]


class QuotaAsks:
    """
    Questions of this process to homes at other instances.

    :param clock: clock of the process
    :param outbox: sends the questions
    """

    __slots__ = ('_clock', '_numbers', '_outbox', '_pending_by_number')

    def __init__(self, clock: Clock, outbox: QuotaOutbox) -> None:
        self._clock = clock
        self._outbox = outbox
        self._numbers = count(1)
        self._pending_by_number: dict[int, _Pending] = {}

    def new_number(self) -> int:
        """Return a number for a question, unique in this process."""
        return next(self._numbers)

    async def ask(
        self, roster: QuotaRoster, home: str, question: Question
    ) -> Verdict | None:
        """
        Return the verdict of a home, none if it does not answer.

        :param roster: is told of a home that does not answer
        """
        for _ in range(TRIES_PER_HOME):
            answer = await self._ask_once(home, question)
            if answer is not None:
                return Verdict(answer.wait_ms)
        logger.bind(workspace=question.workspace, home=home).info(
            'home of a quota does not answer'
        )
        roster.suspect(home, self._clock.now_ms(), SUSPICION_MS)
        # It may have granted them: the answer may be lost.
        self._outbox.put(home, Return(question.number, question.workspace))
        return None

    def resolve(self, home: str, answer: Answer) -> bool:
        """
        Apply an answer.

        :return: whether it was awaited
        """
        pending = self._pending_by_number.get(answer.number)
        if pending is None or pending.home != home:
            return False
        self._pending_by_number.pop(answer.number)
        pending.waiting.callback(answer)
        return True

    async def _ask_once(self, home: str, question: Question) -> Answer | None:
        number = question.number
        waiting: Deferred[Answer | None] = Deferred()
        self._pending_by_number[number] = _Pending(home, waiting)
        self._outbox.put(home, question)
        timer = self._clock.call_later(
            ANSWER_TIMEOUT_MS, self._give_up, number, waiting
        )
        answer = await waiting
        if timer.active():
            timer.cancel()
        return answer

    def _give_up(self, number: int, waiting: Deferred[Answer | None]) -> None:
        self._pending_by_number.pop(number, None)
        waiting.callback(None)
