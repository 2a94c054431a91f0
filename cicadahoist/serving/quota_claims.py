"""Claims of homes for the shares of instances, and their answers."""

from cicadahoist.clock import Clock
from cicadahoist.policy.quotas.delegations import Claim, Delegations
from cicadahoist.policy.quotas.roster import QuotaRoster
from cicadahoist.serving.quota_homes import QuotaHomes
from cicadahoist.serving.quota_messages import Delegation, QuotaMessage
from cicadahoist.serving.quota_outbox import QuotaOutbox

# An instance that ends is left out as a home until it is no longer heard.
LEAVE_MEMORY_MS = 4000


class QuotaClaims:
    """
    Claims the shares of all instances, and delegates those of this one.

    :param clock: clock of the process
    :param roster: the instances of the deployment
    :param outbox: sends messages to peers
    :param homes: the quotas whose home this instance is
    """

    __slots__ = ('_clock', '_homes', '_outbox', '_roster', 'delegations')

    def __init__(
        self,
        clock: Clock,
        roster: QuotaRoster,
        outbox: QuotaOutbox,
        homes: QuotaHomes,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._outbox = outbox
        self._homes = homes
        self.delegations = Delegations(clock.now_ms())

    def review(self) -> None:
        """Update homes, and tell peers of those that ended."""
        ended = self._homes.review(self._clock.now_ms())
        if ended:
            self._release(ended)

    def claim(self, workspaces: tuple[str, ...]) -> None:
        """Claim the shares of all instances in the quotas of workspaces."""
        if not workspaces:
            return
        self._outbox.broadcast(claims=workspaces)
        now_ms = self._clock.now_ms()
        own_claim = Claim(self._outbox.term, now_ms, now_ms)
        for workspace in workspaces:
            self._record(workspace, self._roster.instance, own_claim)

    def claim_all(self) -> None:
        """Claim the shares in all quotas whose home this instance is."""
        self._homes.begin_first(self._clock.now_ms())
        self.review()
        self.claim(self._homes.list_claimed())

    def leave(self) -> None:
        """Give up all homes, as the process ends."""
        ended = self._homes.end_all(self._clock.now_ms())
        if ended:
            self._outbox.broadcast(releases=tuple(ended), is_leaving=True)

    def process(self, message: QuotaMessage) -> None:
        """Process the claims, releases and delegations of a peer."""
        now_ms = self._clock.now_ms()
        self._record_count(message.instance_count)
        if message.is_leaving:
            self._roster.suspect(message.sender, now_ms, LEAVE_MEMORY_MS)
            self.claim_all()
        for released in message.releases:
            self.delegations.release(released, message.sender)
            self._delegate_to_next(released)
        claim = Claim(message.term, message.stamp_ms, now_ms)
        for claimed in message.claims:
            if self._homes.yield_to(claimed, message.sender, now_ms):
                self._release([claimed])
            self._record(claimed, message.sender, claim)
        for delegation in message.delegations:
            if delegation.term == self._outbox.term:
                self._homes.apply(message.sender, delegation, now_ms)

    def _record_count(self, instance_count: int) -> None:
        """Apply a higher number of instances at once to the own homes."""
        now_ms = self._clock.now_ms()
        before = self._roster.count_instances(now_ms)
        self._roster.record_count(instance_count, now_ms)
        if before and instance_count > before:
            self.review()

    def _record(self, workspace: str, home: str, claim: Claim) -> None:
        self.delegations.record_claim(workspace, home, claim)
        self._delegate(workspace, home, claim)

    def _release(self, workspaces: list[str]) -> None:
        self._outbox.broadcast(releases=tuple(workspaces))
        for workspace in workspaces:
            self.delegations.release(workspace, self._roster.instance)
            self._delegate_to_next(workspace)

    def _delegate_to_next(self, workspace: str) -> None:
        found = self.delegations.find_home(workspace, self._clock.now_ms())
        if found is not None:
            self._delegate(workspace, *found)

    def _delegate(self, workspace: str, home: str, claim: Claim) -> None:
        """Answer a claim, unless there is nothing to give."""
        now_ms = self._clock.now_ms()
        is_renewal = self.delegations.has_lease(workspace, home, now_ms)
        has_share = self.delegations.try_delegate(workspace, home, now_ms)
        has_overdraft = not (
            is_renewal and has_share
        ) and self.delegations.try_give_overdraft(workspace, now_ms)
        if not (has_share or has_overdraft):
            return
        answer = Delegation(
            workspace, claim.term, claim.stamp_ms, has_share, has_overdraft
        )
        if home == self._roster.instance:
            self._homes.apply(home, answer, now_ms)
        else:
            self._outbox.put(home, answer)
