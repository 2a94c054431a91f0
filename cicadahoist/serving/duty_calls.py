"""Calls that the holder of a duty makes, as the core sees them."""

from enum import Enum
from typing import Protocol

import msgspec

from cicadahoist.listings import Listing


class OrderReply(Enum):
    """
    How an order or report was received.

    ``unknown``: it may or may not have been accepted. ``busy``: it was not,
    and may be sent again. ``none_available``: no target can be had there now.
    """

    accepted = 'accepted'
    none_available = 'none-available'
    busy = 'busy'
    refused = 'refused'
    unknown = 'unknown'


class TargetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """
    Targets wanted of a service in one availability zone.

    :param count: how many are wanted in all, of this kind
    :param is_cheap: whether reclaimable targets are meant
    """

    service: str
    zone: str
    count: int
    is_cheap: bool = False


class DutyInterface(Protocol):
    """What the platform lets the holder of a duty do."""

    async def report_usage(
        self, window: int, counts: dict[str, int], epoch: int
    ) -> OrderReply:
        """Report the requests of each workspace in one window."""

    async def order_targets(self, order: TargetOrder, epoch: int) -> OrderReply:
        """Order a number of targets in one availability zone."""


class RoleOrders(Protocol):
    """Orders to engines."""

    async def fetch_accepted_count(self, engine: Listing) -> int:
        """Return how many orders an engine has accepted since its start."""

    async def order_role(
        self, engine: Listing, role: str, epoch: int, accepted: int
    ) -> OrderReply:
        """Order a role, if the engine has accepted so many orders before."""
