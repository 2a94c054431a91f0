"""Asks the homes of quotas for the tokens of requests."""

from itertools import count

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.policy.quotas.home import Verdict
from cicadahoist.policy.quotas.roster import SUSPICION_MS, QuotaRoster
from cicadahoist.serving.quota_desk import QuotaDesk
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


class QuotaAsks:
    """
    Questions of this process to homes.

    :param clock: clock of the process
    :param roster: the instances of the deployment
    :param outbox: sends the questions
    :param desk: answers them if this instance is the home
    """

    __slots__ = (
        '_clock',
        '_desk',
        '_inquiry_by_number',
        '_numbers',
        '_outbox',
        '_roster',
    )

    def __init__(
        self,
        clock: Clock,
        roster: QuotaRoster,
        outbox: QuotaOutbox,
        desk: QuotaDesk,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._outbox = outbox
        self._desk = desk
        self._numbers = count(1)
        self._inquiry_by_number: dict[int, _Inquiry] = {}

    def new_number(self) -> int:
        """Return a number for a question, unique in this process."""
        return next(self._numbers)

    async def ask(
        self, homes: list[str], question: Question
    ) -> Receipt | int | None:
        """
        Ask homes in turn until one grants the tokens or the first refuses.

        :param homes: the homes, the first in rank first
        :return: the grant, or the time until the tokens will be available,
            none if no home answers
        """
        inquiry = _Inquiry(homes[0])
        self._inquiry_by_number[question.number] = inquiry
        for home in homes:
            await self._ask_home(inquiry, home, question)
            if inquiry.is_decided:
                break
        self._inquiry_by_number.pop(question.number)
        granting = inquiry.find_granting()
        for home in inquiry.list_unused(granting):
            self._give_up(home, question)
        if granting is not None:
            return Receipt(granting, question.number)
        return inquiry.find_wait_ms()

    def resolve(self, home: str, answer: Answer) -> bool:
        """
        Apply an answer.

        :return: whether it was awaited
        """
        # A home that answers late is busy, and not gone.
        self._roster.trust(home, self._clock.now_ms())
        inquiry = self._inquiry_by_number.get(answer.number)
        if inquiry is None:
            return False
        if inquiry.is_decided or home not in inquiry.asked:
            return False
        inquiry.add(home, Verdict(answer.wait_ms))
        return True

    async def _ask_home(
        self, inquiry: '_Inquiry', home: str, question: Question
    ) -> None:
        inquiry.asked.add(home)
        if home == self._roster.instance:
            inquiry.add(home, await self._desk.ask(question))
            if not inquiry.is_decided:
                # The first in rank may still answer.
                await inquiry.wait(self._clock)
            return
        for _ in range(TRIES_PER_HOME):
            if home not in inquiry.verdict_by_home:
                self._outbox.put(home, question)
                await inquiry.wait(self._clock)
            if inquiry.is_decided:
                return
        if home not in inquiry.verdict_by_home:
            logger.bind(workspace=question.workspace, home=home).info(
                'home of a quota does not answer'
            )
            self._roster.suspect(home, self._clock.now_ms(), SUSPICION_MS)

    def _give_up(self, home: str, question: Question) -> None:
        """Return what a home may have granted: its answer may be late."""
        returned = Return(question.number, question.workspace)
        if home == self._roster.instance:
            self._desk.take_back(returned, home, self._outbox.term)
        else:
            self._outbox.put(home, returned)


class _Inquiry:
    """
    The verdicts on one question.

    :param first: home whose refusal is final
    """

    __slots__ = ('_first', '_waiting', 'asked', 'verdict_by_home')

    def __init__(self, first: str) -> None:
        self._first = first
        self._waiting: Deferred[None] | None = None
        self.asked: set[str] = set()
        self.verdict_by_home: dict[str, Verdict] = {}

    @property
    def is_decided(self) -> bool:
        """Whether a home has granted the tokens, or the first has refused."""
        has_grant = self.find_granting() is not None
        return has_grant or self._first in self.verdict_by_home

    def add(self, home: str, verdict: Verdict) -> None:
        """Add a verdict, which ends the wait if it decides."""
        self.verdict_by_home[home] = verdict
        if self.is_decided:
            self._end_wait()

    async def wait(self, clock: Clock) -> None:
        """Wait until the question is decided, or a time has passed."""
        waiting: Deferred[None] = Deferred()
        self._waiting = waiting
        timer = clock.call_later(ANSWER_TIMEOUT_MS, self._end_wait)
        await waiting
        if timer.active():
            timer.cancel()

    def find_granting(self) -> str | None:
        """Return the home that has granted the tokens, none without one."""
        for home, verdict in self.verdict_by_home.items():
            if verdict.wait_ms is None:
                return home
        return None

    def list_unused(self, granting: str | None) -> list[str]:
        """Return the other homes that have, or may have, granted the tokens."""
        refusing = {
            home
            for home, verdict in self.verdict_by_home.items()
            if verdict.wait_ms is not None
        }
        return sorted(self.asked - refusing - {granting})

    def find_wait_ms(self) -> int | None:
        """Return the shortest time that a refusal states, none without one."""
        return min(
            (
                verdict.wait_ms
                for verdict in self.verdict_by_home.values()
                if verdict.wait_ms is not None
            ),
            default=None,
        )

    def _end_wait(self) -> None:
        waiting = self._waiting
        self._waiting = None
        if waiting is not None:
            waiting.callback(None)
