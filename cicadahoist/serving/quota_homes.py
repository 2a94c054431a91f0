"""The quotas whose home this instance is."""

from cicadahoist.log import get_logger
from cicadahoist.policy.quotas.delegations import compute_rank
from cicadahoist.policy.quotas.home import QuestionId, QuotaHome, Verdict
from cicadahoist.policy.quotas.limit import QuotaLimit
from cicadahoist.policy.quotas.roster import QuotaRoster
from cicadahoist.serving.quota_messages import Delegation

logger = get_logger(__name__)

# An instance that is not first in rank is a home for this long after a
# question: the one that asked does not reach the first.
ASKED_MEMORY_MS = 3000
# A new home answers once the first delegations can have arrived.
FIRST_ANSWER_MS = 20


class QuotaHomes:
    """
    Begins and ends the homes of this instance, and asks them.

    :param roster: the instances of the deployment
    """

    __slots__ = (
        '_asked_ms_by_workspace',
        '_began_ms_by_workspace',
        '_home_by_workspace',
        '_roster',
        'limit_by_workspace',
    )

    def __init__(self, roster: QuotaRoster) -> None:
        self._roster = roster
        self.limit_by_workspace: dict[str, QuotaLimit] = {}
        self._home_by_workspace: dict[str, QuotaHome] = {}
        self._asked_ms_by_workspace: dict[str, int] = {}
        self._began_ms_by_workspace: dict[str, int] = {}

    def begin_first(self, now_ms: int) -> None:
        """Begin the homes for which this instance is first in rank."""
        for workspace in self.limit_by_workspace:
            if self._is_first(workspace, now_ms):
                self._begin(workspace, now_ms)

    def review(self, now_ms: int) -> list[str]:
        """
        End homes by rank, and apply limits and instance counts.

        :return: workspaces whose home this instance is no more
        """
        ended = [
            workspace
            for workspace in self._home_by_workspace
            if not self._is_wanted(workspace, now_ms)
        ]
        for workspace in ended:
            self._end(workspace, 'not first in rank', now_ms)
        count = self._roster.count_instances(now_ms)
        for workspace, home in self._home_by_workspace.items():
            limit = self.limit_by_workspace[workspace]
            home.update(limit, count, now_ms)
        return ended

    def end_all(self, now_ms: int) -> list[str]:
        """End all homes, and return their workspaces."""
        ended = list(self._home_by_workspace)
        for workspace in ended:
            self._end(workspace, 'leaving', now_ms)
        return ended

    def list_claimed(self) -> tuple[str, ...]:
        """Return the workspaces whose home this instance is."""
        return tuple(self._home_by_workspace)

    def yield_to(self, workspace: str, peer: str, now_ms: int) -> bool:
        """
        Give up the shares of a quota to a peer of higher rank.

        :return: whether there were any
        """
        home = self._home_by_workspace.get(workspace)
        own_rank = compute_rank(workspace, self._roster.instance)
        if home is None or own_rank < compute_rank(workspace, peer):
            return False
        had_delegations = home.has_delegations
        if had_delegations:
            logger.bind(workspace=workspace, home=peer).info(
                'quota left to a home of higher rank'
            )
            home.drop_delegations(now_ms)
        return had_delegations

    def apply(self, instance: str, answer: Delegation, now_ms: int) -> None:
        """Apply the answer of an instance to a claim of this process."""
        home = self._home_by_workspace.get(answer.workspace)
        if home is not None:
            home.apply_delegation(
                instance,
                answer.stamp_ms,
                now_ms,
                has_share=answer.has_share,
                has_overdraft=answer.has_overdraft,
            )

    def begin_asked(self, workspace: str, now_ms: int) -> bool:
        """Note a question, and return whether it has begun a home."""
        if workspace not in self.limit_by_workspace:
            return False
        self._asked_ms_by_workspace[workspace] = now_ms
        return self._begin(workspace, now_ms)

    def compute_delay_ms(self, workspace: str, now_ms: int) -> int:
        """Return the time until a new home can answer."""
        began_ms = self._began_ms_by_workspace.get(workspace)
        if began_ms is None:
            return 0
        return max(0, began_ms + FIRST_ANSWER_MS - now_ms)

    def ask(
        self,
        workspace: str,
        question_id: QuestionId,
        tokens: float,
        now_ms: int,
    ) -> Verdict:
        """Grant tokens; without a quota here, which others have, grant all."""
        home = self._home_by_workspace.get(workspace)
        if home is None:
            return Verdict()
        return home.ask(question_id, tokens, now_ms)

    def give_back(
        self, workspace: str, question_id: QuestionId, now_ms: int
    ) -> None:
        """Take tokens back whose request has not run."""
        home = self._home_by_workspace.get(workspace)
        if home is not None:
            home.give_back(question_id, now_ms)

    def _begin(self, workspace: str, now_ms: int) -> bool:
        if workspace in self._home_by_workspace:
            return False
        limit = self.limit_by_workspace[workspace]
        home = QuotaHome(limit, now_ms)
        home.update(limit, self._roster.count_instances(now_ms), now_ms)
        self._home_by_workspace[workspace] = home
        self._began_ms_by_workspace[workspace] = now_ms
        logger.bind(workspace=workspace, instances=self._roster.own_count).info(
            'home of a quota'
        )
        return True

    def _end(self, workspace: str, cause: str, now_ms: int) -> None:
        home = self._home_by_workspace.pop(workspace)
        self._began_ms_by_workspace.pop(workspace)
        logger.bind(
            workspace=workspace, cause=cause, share=home.compute_share(now_ms)
        ).info('no longer home of a quota')

    def _is_wanted(self, workspace: str, now_ms: int) -> bool:
        if workspace not in self.limit_by_workspace:
            return False
        asked_ms = self._asked_ms_by_workspace.get(workspace)
        if asked_ms is not None and now_ms - asked_ms <= ASKED_MEMORY_MS:
            return True
        return self._is_first(workspace, now_ms)

    def _is_first(self, workspace: str, now_ms: int) -> bool:
        first = self._roster.list_homes(workspace, 1, now_ms)
        return first == [self._roster.instance]
