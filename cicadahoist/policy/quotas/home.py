"""The home of a quota: grants from the shares that are delegated to it."""

from collections import OrderedDict

import msgspec

from cicadahoist.policy.quotas.bucket import QuotaBucket, Taken
from cicadahoist.policy.quotas.delegations import LEASE_MS
from cicadahoist.policy.quotas.limit import QuotaLimit

# A grant can be returned, and a question repeated, for this long.
GRANT_MEMORY_MS = 30_000

# Instance, process and number of a question.
QuestionId = tuple[str, str, int]


class Verdict(msgspec.Struct, frozen=True):
    """
    Answer of a home to a question for tokens.

    :param wait_ms: time until the tokens are available, none if granted
    """

    wait_ms: int | None = None


class _Grant(msgspec.Struct, frozen=True):
    taken: Taken
    granted_ms: int


class QuotaHome:
    """
    Grants from a quota at this instance.

    All leases are measured from the time at which this process sent the claim,
    so that one that stood still finds them expired.

    :param limit: the quota
    :param now_ms: time from which this instance is a home
    """

    __slots__ = (
        '_bucket',
        '_expiry_by_instance',
        '_grant_by_id',
        '_instance_count',
        '_limit',
        '_share',
        '_since_ms',
    )

    def __init__(self, limit: QuotaLimit, now_ms: int) -> None:
        self._limit = limit
        self._bucket = QuotaBucket(limit, now_ms)
        self._expiry_by_instance: dict[str, int] = {}
        self._grant_by_id: OrderedDict[QuestionId, _Grant] = OrderedDict()
        self._instance_count = 0
        self._share = float(0)
        self._since_ms = now_ms

    @property
    def has_delegations(self) -> bool:
        """Whether any instance has delegated its share."""
        return bool(self._expiry_by_instance)

    def update(
        self, limit: QuotaLimit, instance_count: int, now_ms: int
    ) -> None:
        """
        Apply the limit and the number of registered instances.

        :param instance_count: the highest number that is known, 0 if none is
        """
        self._settle(now_ms)
        self._limit = limit
        self._instance_count = instance_count
        self._share = self._compute_share(now_ms)
        self._bucket.settle(limit, self._share, now_ms)

    def apply_delegation(
        self,
        instance: str,
        stamp_ms: int,
        now_ms: int,
        *,
        has_share: bool,
        has_overdraft: bool,
    ) -> None:
        """
        Apply the answer of an instance to a claim.

        :param stamp_ms: when this process sent the claim
        :param has_share: whether the instance delegates its share
        :param has_overdraft: whether it gives its share of the overdraft
        """
        if stamp_ms < self._since_ms or not self._instance_count:
            return
        self._settle(now_ms)
        expires_ms = stamp_ms + LEASE_MS
        if has_share and expires_ms > now_ms:
            self._expiry_by_instance[instance] = expires_ms
        overdraft_ms = stamp_ms + self._limit.window_ms
        if has_overdraft and overdraft_ms > now_ms:
            tokens = self._limit.overdraft_tokens / self._instance_count
            self._bucket.add_overdraft(tokens, overdraft_ms)
        self._share = self._compute_share(now_ms)

    def drop_delegations(self, now_ms: int) -> None:
        """Give up all shares; answers to earlier claims no longer count."""
        self._expiry_by_instance.clear()
        self._grant_by_id.clear()
        self._since_ms = now_ms + 1
        self._settle(now_ms)

    def ask(
        self, question_id: QuestionId, tokens: float, now_ms: int
    ) -> Verdict:
        """Grant tokens, or tell when they will be available."""
        if question_id in self._grant_by_id:
            return Verdict()
        self._settle(now_ms)
        self._forget_grants(now_ms)
        taken = self._bucket.try_take(tokens)
        if taken is None:
            return Verdict(self._bucket.plan_wait_ms(tokens, now_ms))
        self._grant_by_id[question_id] = _Grant(taken, now_ms)
        return Verdict()

    def give_back(self, question_id: QuestionId, now_ms: int) -> bool:
        """
        Take tokens back whose request has not run.

        :return: whether this home has granted them
        """
        grant = self._grant_by_id.pop(question_id, None)
        if grant is None:
            return False
        self._settle(now_ms)
        self._bucket.give_back(grant.taken)
        return True

    def compute_share(self, now_ms: int) -> float:
        """Return the share of the quota that this home holds."""
        self._settle(now_ms)
        return self._share

    def _settle(self, now_ms: int) -> None:
        """Fill the bucket by the lower of the shares before and now."""
        share = self._compute_share(now_ms)
        self._bucket.settle(self._limit, min(share, self._share), now_ms)
        self._share = share

    def _compute_share(self, now_ms: int) -> float:
        if not self._instance_count:
            return 0
        held = {
            instance: expires_ms
            for instance, expires_ms in self._expiry_by_instance.items()
            if expires_ms > now_ms
        }
        self._expiry_by_instance = held
        return min(1, len(held) / self._instance_count)

    def _forget_grants(self, now_ms: int) -> None:
        grants = self._grant_by_id
        while grants:
            question_id, oldest = next(iter(grants.items()))
            if now_ms - oldest.granted_ms < GRANT_MEMORY_MS:
                return
            grants.pop(question_id)
