"""Requests as admission and routing see them."""

import msgspec

from cicadahoist.policy.cost import Cost
from cicadahoist.reasons import Refusal
from cicadahoist.table import Rule

URGENT_PRIORITY = 1


class Ticket(msgspec.Struct, kw_only=True):
    """
    A request that asks to be admitted.

    :param request: identifier of the request
    :param pool: targets that serve its route
    :param rule: row of its workspace and route
    :param arrived_ms: when it arrived at the entry
    :param cheap_only: whether it still waits for cheap targets only
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
        """Return the ticket of a new request."""
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
        """When the whole answer is due."""
        return self.arrived_ms + self.rule.deadline_ms

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the first token."""
        return self.rule.priority <= URGENT_PRIORITY


class Refused(msgspec.Struct, frozen=True):
    """
    Why a request is not admitted.

    :param retry_after_ms: when it is likely to be admitted
    """

    reason: Refusal
    retry_after_ms: int


class Expired(msgspec.Struct, frozen=True):
    """A queued request that can no longer be answered in time."""

    ticket: Ticket
    refused: Refused


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """
    One attempt that needs a target.

    :param attempt: identifier of the attempt
    :param blocks: digests of the prompt's blocks, the first one first
    :param tried: names of targets that are left out
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
