"""Interfaces of the calls that the holder of the duties makes."""

from enum import Enum
from typing import Protocol

import msgspec

from cicadahoist.listings import Listing


class OrderReply(Enum):
    """
    Result of sending an order or report.

    ``unknown``: it may or may not have been accepted. ``busy``: it was not
    accepted and may be sent again. ``none_available``: no target is available
    in that availability zone now.
    """

    accepted = 'accepted'
    none_available = 'none-available'
    busy = 'busy'
    refused = 'refused'
    unknown = 'unknown'


class TargetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """
    Target count that a service should have in one availability zone.

    :param count: total number of targets of this kind, present ones included
    :param is_cheap: whether the order is for reclaimable targets
    """

    service: str
    zone: str
    count: int
    is_cheap: bool = False


class DutyInterface(Protocol):
    """Calls of the platform for the holder of the duties."""

    async def report_usage(
        self, window: int, counts: dict[str, int], epoch: int
    ) -> OrderReply:
        """Report the requests of each workspace in one window."""

    async def order_targets(self, order: TargetOrder, epoch: int) -> OrderReply:
        """Order the target count of a service in one availability zone."""


class RoleOrders(Protocol):
    """Calls that change the roles of engines."""

    async def fetch_accepted_count(self, engine: Listing) -> int:
        """Return how many orders an engine has accepted since its start."""

    async def order_role(
        self, engine: Listing, role: str, epoch: int, accepted: int
    ) -> OrderReply:
        """
        Order a role.

        :param epoch: fencing token of the lease
        :param accepted: orders that the engine must have accepted before;
            otherwise it refuses this one
        """
