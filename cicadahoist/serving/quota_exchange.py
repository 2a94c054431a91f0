"""Enforces the quotas of workspaces together with the other instances."""

from collections.abc import Callable

from cicadahoist.clock import Clock, Timer
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.metrics import Metrics
from cicadahoist.policy.quotas.delegations import CLAIM_PERIOD_MS
from cicadahoist.policy.quotas.limit import QuotaLimit, QuotaTerms
from cicadahoist.policy.quotas.roster import QuotaRoster
from cicadahoist.rules import Quota
from cicadahoist.serving.quota_asks import QuotaAsks, Receipt
from cicadahoist.serving.quota_claims import QuotaClaims
from cicadahoist.serving.quota_desk import QuotaDesk
from cicadahoist.serving.quota_homes import QuotaHomes
from cicadahoist.serving.quota_messages import (
    QUOTA_MARK,
    Answer,
    Question,
    Return,
    codec,
)
from cicadahoist.serving.quota_meters import QuotaMeters
from cicadahoist.serving.quota_outbox import Address, QuotaOutbox

logger = get_logger(__name__)

# Instances that are asked for tokens: the home, and the second in rank.
HOME_COUNT = 2
# Callers may come back after this time if no home answers.
NO_HOME_RETRY_AFTER_MS = 500


class QuotaExchange:
    """
    Asks homes for tokens, and answers as the home of some quotas.

    Nothing is sent before a workspace has a quota.

    :param clock: clock of the process
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_asks',
        '_clock',
        '_desk',
        '_homes',
        '_outbox',
        '_quota_by_workspace',
        '_roster',
        '_terms',
        '_timer',
        'claims',
        'meters',
    )

    # First byte of its datagrams; no load report begins with it.
    mark = QUOTA_MARK

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._roster = QuotaRoster('', _is_no_peer_alive)
        self._outbox = QuotaOutbox(clock, self._roster)
        self._homes = QuotaHomes(self._roster)
        # None before the first configuration.
        self._quota_by_workspace: dict[str, Quota] | None = None
        self._terms = QuotaTerms()
        self._timer: Timer | None = None
        self.claims = QuotaClaims(
            clock, self._roster, self._outbox, self._homes
        )
        self._desk = QuotaDesk(
            clock, self._roster, self._outbox, self._homes, self.claims
        )
        self._asks = QuotaAsks(clock, self._roster, self._outbox, self._desk)
        self.meters = QuotaMeters(metrics)

    def join(
        self, instance: str, term: str, is_alive: Callable[[str, int], bool]
    ) -> None:
        """
        Set the identity of this instance.

        :param instance: name of this instance
        :param term: unique name of this process
        :param is_alive: returns whether a peer was heard lately
        """
        self._roster.instance = instance
        self._roster.is_alive = is_alive
        self._outbox.term = term

    def connect(
        self,
        send_datagram: Callable[[bytes, Address], None],
        address_by_peer: dict[str, Address],
    ) -> None:
        """
        Replace the addresses of all other registered instances.

        :param send_datagram: sends a datagram to an address
        """
        self._outbox.send_datagram = send_datagram
        self._outbox.address_by_peer = dict(address_by_peer)
        self._roster.set_peers(address_by_peer, self._clock.now_ms())
        self.claims.review()

    def set_terms(self, terms: QuotaTerms) -> None:
        """Apply the tolerance of the rule."""
        self._terms = terms
        self.claims.delegations.set_window(terms.window_ms)
        self._apply_limits()

    def apply_quotas(self, quota_by_workspace: dict[str, Quota]) -> None:
        """Apply the quotas of a configuration."""
        before = self._quota_by_workspace or {}
        self._quota_by_workspace = quota_by_workspace
        if quota_by_workspace == before:
            return
        for workspace in sorted(before.keys() | quota_by_workspace.keys()):
            quota = quota_by_workspace.get(workspace)
            if quota != before.get(workspace):
                _log_change(workspace, quota)
        self._apply_limits()
        if self._timer is None:
            # Peers are heard within a period of the start.
            self._timer = self._clock.call_later(CLAIM_PERIOD_MS, self._round)

    def get_quota(self, workspace: str) -> Quota | None:
        """Return the quota of a workspace, none if it has none."""
        return (self._quota_by_workspace or {}).get(workspace)

    async def start(self) -> None:
        """Do nothing: the first quota begins the exchange."""

    async def stop(self) -> None:
        """Give up all homes, as the process ends."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.claims.leave()
        self._quota_by_workspace = None
        self._homes.limit_by_workspace = {}

    async def ask(self, workspace: str, tokens: float) -> Receipt | int:
        """
        Take tokens for a run of a request of a workspace with a quota.

        :return: the grant, or the time until the tokens will be available
        """
        question = Question(self._asks.new_number(), workspace, tokens)
        answer = await self._ask_homes(question)
        self.meters.count_verdict(
            workspace, tokens, is_granted=isinstance(answer, Receipt)
        )
        return answer

    def give_back(
        self, receipt: Receipt, workspace: str, tokens: float
    ) -> None:
        """Return the tokens of a request that has not run."""
        self.meters.count_returned(workspace, tokens)
        returned = Return(receipt.number, workspace)
        if receipt.home == self._roster.instance:
            self._desk.take_back(returned, receipt.home, self._outbox.term)
        elif receipt.home:
            self._outbox.put(receipt.home, returned)

    def receive(self, datagram: bytes, address: Address) -> None:
        """Process a datagram of a peer; drop one that cannot be read."""
        try:
            message = codec.decode(datagram[len(QUOTA_MARK) :])
        except WireError as error:
            logger.info('{0}', error)
            return
        self._outbox.learn_address(message.sender, address)
        self.claims.process(message)
        # Without a configuration, the workspace may have a quota or none.
        if self._quota_by_workspace is not None:
            self._desk.process(message)
        for answer in message.answers:
            self._process_answer(answer, message.sender)
        for returned in message.returns:
            self._desk.take_back(returned, message.sender, message.term)

    async def _ask_homes(self, question: Question) -> Receipt | int:
        homes = self._roster.list_homes(
            question.workspace, HOME_COUNT, self._clock.now_ms()
        )
        answer = await self._asks.ask(homes, question) if homes else None
        if answer is not None:
            return answer
        if self._try_spend_overdraft(question):
            return Receipt('', question.number)
        return NO_HOME_RETRY_AFTER_MS

    def _process_answer(self, answer: Answer, home: str) -> None:
        """Apply an answer; return the tokens of one that came too late."""
        if not self._asks.resolve(home, answer) and answer.wait_ms is None:
            self._outbox.put(home, Return(answer.number, answer.workspace))

    def _try_spend_overdraft(self, question: Question) -> bool:
        """Grant from this instance's own share of the overdraft."""
        now_ms = self._clock.now_ms()
        limit = self._homes.limit_by_workspace.get(question.workspace)
        count = self._roster.count_instances(now_ms)
        if limit is None or not count:
            return False
        if question.tokens > limit.overdraft_tokens / count:
            return False
        delegations = self.claims.delegations
        return delegations.try_give_overdraft(question.workspace, now_ms)

    def _apply_limits(self) -> None:
        quotas = self._quota_by_workspace or {}
        self._homes.limit_by_workspace = {
            workspace: QuotaLimit.from_quota(quota, self._terms)
            for workspace, quota in quotas.items()
        }
        self.claims.review()

    def _round(self) -> None:
        self.claims.claim_all()
        if self._quota_by_workspace:
            self._timer = self._clock.call_later(CLAIM_PERIOD_MS, self._round)
        else:
            self._timer = None


def _log_change(workspace: str, quota: Quota | None) -> None:
    logger.bind(
        workspace=workspace,
        tokens_per_s=quota.tokens_per_s if quota else None,
        burst_tokens=quota.burst_tokens if quota else None,
    ).info('quota in force' if quota else 'quota removed')


def _is_no_peer_alive(peer: str, now_ms: int) -> bool:
    """Return false: this instance has not joined the deployment."""
    return False
