"""Request descriptions that admission and routing work on."""

import msgspec

from cicadahoist.policy.cost import Cost
from cicadahoist.reasons import Refusal
from cicadahoist.table import Rule

URGENT_PRIORITY = 1


class Ticket(msgspec.Struct, kw_only=True):
    """
    A request that is to be admitted.

    :param request_id: identifier of the request
    :param pool: name of the pool of targets that serves its route
    :param rule: limits and priority of its workspace on its route
    :param cost: estimated work of the request
    :param arrived_ms: time of arrival at the entry
    :param cheap_only: whether it may still start on reclaimable targets only
    """

    request_id: str
    pool: str
    rule: Rule
    cost: Cost
    arrived_ms: int
    cheap_only: bool = False

    @classmethod
    def from_rule(
        cls, request_id: str, pool: str, rule: Rule, cost: Cost, arrived_ms: int
    ) -> 'Ticket':
        """Return the ticket of a new request; the rule sets its first lane."""
        return cls(
            request_id=request_id,
            pool=pool,
            rule=rule,
            cost=cost,
            arrived_ms=arrived_ms,
            cheap_only=rule.cheap_only_until_ms > 0,
        )

    @property
    def due_ms(self) -> int:
        """Time by which the whole answer is due."""
        return self.arrived_ms + self.rule.deadline_ms

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the first token."""
        return self.rule.priority <= URGENT_PRIORITY


class Refused(msgspec.Struct, frozen=True):
    """
    The rejection of a request by admission.

    :param reason: why the request was rejected
    :param retry_after_ms: delay after which a retry is likely to be admitted
    """

    reason: Refusal
    retry_after_ms: int


class Expired(msgspec.Struct, frozen=True):
    """A queued request that can no longer meet its deadline."""

    ticket: Ticket
    refused: Refused


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the router needs to know to choose the target of one attempt.

    :param attempt_id: identifier of the attempt
    :param cost: estimated work of the attempt
    :param blocks: digests of the prompt's blocks, in prompt order
    :param excluded_targets: names of targets that may not be chosen
    :param price_ceiling: highest target price, 0 for no ceiling
    :param cheap_only: whether only reclaimable targets may serve it
    :param roles: roles of engines that may serve it, empty for all
    """

    attempt_id: str
    workspace: str
    route: str
    cost: Cost
    priority: int = URGENT_PRIORITY
    blocks: tuple[int, ...] = ()
    excluded_targets: frozenset[str] = frozenset()
    price_ceiling: int = 0
    cheap_only: bool = False
    roles: frozenset[str] = frozenset()

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the first token."""
        return self.priority <= URGENT_PRIORITY
