"""Answers questions for tokens as the home of a quota."""

from cicadahoist.clock import Clock
from cicadahoist.policy.quotas.home import Verdict
from cicadahoist.policy.quotas.roster import QuotaRoster
from cicadahoist.serving.quota_claims import QuotaClaims
from cicadahoist.serving.quota_homes import QuotaHomes
from cicadahoist.serving.quota_messages import (
    Answer,
    Question,
    QuotaMessage,
    Return,
)
from cicadahoist.serving.quota_outbox import QuotaOutbox


class QuotaDesk:
    """
    Answers the questions of peers and of this instance.

    :param clock: clock of the process
    :param roster: the instances of the deployment
    :param outbox: sends messages to peers
    :param homes: the quotas whose home this instance is
    :param claims: claims the shares for a home that begins
    """

    __slots__ = ('_claims', '_clock', '_homes', '_outbox', '_roster')

    def __init__(
        self,
        clock: Clock,
        roster: QuotaRoster,
        outbox: QuotaOutbox,
        homes: QuotaHomes,
        claims: QuotaClaims,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._outbox = outbox
        self._homes = homes
        self._claims = claims

    async def ask(self, question: Question) -> Verdict:
        """Answer a question of this instance."""
        delay_ms = self._prepare_home(question.workspace)
        if delay_ms:
            await self._clock.sleep(delay_ms)
        return self._decide(question, self._roster.instance, self._outbox.term)

    def process(self, message: QuotaMessage) -> None:
        """Answer the questions of a peer."""
        for question in message.questions:
            delay_ms = self._prepare_home(question.workspace)
            if delay_ms:
                self._clock.call_later(
                    delay_ms, self._answer, question, message
                )
            else:
                self._answer(question, message)

    def take_back(self, returned: Return, instance: str, term: str) -> None:
        """Take back tokens that this instance may have granted."""
        self._homes.give_back(
            returned.workspace,
            (instance, term, returned.number),
            self._clock.now_ms(),
        )

    def _answer(self, question: Question, message: QuotaMessage) -> None:
        verdict = self._decide(question, message.sender, message.term)
        self._outbox.put(
            message.sender,
            Answer(question.number, question.workspace, verdict.wait_ms),
        )

    def _prepare_home(self, workspace: str) -> int:
        """Begin a home if there is none; return the time until it answers."""
        now_ms = self._clock.now_ms()
        if self._homes.begin_asked(workspace, now_ms):
            self._claims.claim((workspace,))
        return self._homes.compute_delay_ms(workspace, now_ms)

    def _decide(self, question: Question, instance: str, term: str) -> Verdict:
        return self._homes.ask(
            question.workspace,
            (instance, term, question.number),
            question.tokens,
            self._clock.now_ms(),
        )
