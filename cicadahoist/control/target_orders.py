"""Sends target orders to the platform and reads their progress."""

from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.outside.platform import TargetOrders
from cicadahoist.outside.platform_messages import (
    TargetOrderCall,
    TargetOrderState,
)
from cicadahoist.protocol.order_events import (
    OrderDone,
    OrderProgress,
    OrderRefused,
    OrderUnanswered,
    TargetRead,
)
from cicadahoist.protocol.records import JournalEntry

logger = get_logger(__name__)

BUY = 'buy'
RELEASE = 'release'
RECLAIMABLE = 'reclaimable'
DEDICATED = 'dedicated'
UNAVAILABLE = 'unavailable'
ACCEPTED = 'accepted'

OrderEvent = OrderDone | OrderRefused | OrderUnanswered


class TargetSender:
    """
    Sends single orders to the platform.

    :param platform: platform adapter for target orders
    :param zone: zone of the lease
    """

    __slots__ = ('_platform', '_zone')

    def __init__(self, platform: TargetOrders, zone: str) -> None:
        self._platform = platform
        self._zone = zone

    async def send(self, entry: JournalEntry) -> OrderEvent:
        """
        Send an order.

        An accepted order counts as done: the platform has stored its token and
        executes it without another call.
        """
        try:
            state = await self._platform.send(
                build_order_call(entry, self._zone)
            )
        except CicadahoistError as error:
            logger.info(
                'target order {0} has no conclusive response: {1}',
                entry.token,
                error,
            )
            return OrderUnanswered(entry.target, entry.token)
        if state.state == UNAVAILABLE:
            return OrderRefused(entry.target, entry.token)
        return OrderDone(entry.target, entry.token)

    async def read(self, slot: str, token: str) -> TargetRead | None:
        """
        Read the progress of an order.

        :return: the progress, or None if the platform does not respond
        """
        try:
            states = await self._platform.fetch_orders(self._zone)
        except CicadahoistError as error:
            logger.debug(
                'target orders of zone {0} cannot be read: {1}',
                self._zone,
                error,
            )
            return None
        return TargetRead(slot, token, self._find_progress(states, token))

    def _find_progress(
        self, states: list[TargetOrderState], token: str
    ) -> OrderProgress:
        expected = build_platform_token(self._zone, token)
        for state in states:
            if state.token == expected and state.state != UNAVAILABLE:
                return OrderProgress.done
        return OrderProgress.absent


def build_platform_token(zone: str, token: str) -> str:
    """Return the token that the platform gets, unique across zones."""
    return f'{zone}.{token}'


def parse_pool(slot: str) -> str:
    """Return the pool of a slot named ``pool/number``."""
    return slot.rpartition('/')[0]


def build_order_call(entry: JournalEntry, zone: str) -> TargetOrderCall:
    """Return the platform call for a journalled order."""
    is_buy = entry.kind == BUY
    return TargetOrderCall(
        token=build_platform_token(zone, entry.token),
        epoch=entry.epoch,
        zone=zone,
        kind=entry.kind,
        pool=parse_pool(entry.target),
        reclaimable=is_buy and entry.argument == RECLAIMABLE,
        target='' if is_buy else entry.argument,
    )
