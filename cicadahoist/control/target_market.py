"""Reads the targets and target orders of one zone from the platform."""

from cicadahoist.control.target_orders import (
    ACCEPTED,
    BUY,
    build_platform_token,
)
from cicadahoist.control.target_slots import Journal, Market
from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.outside.platform import TargetOrders
from cicadahoist.outside.platform_messages import TargetOrderState

logger = get_logger(__name__)


class MarketReader:
    """
    Reads the targets, and the orders only if they may have changed.

    :param platform: platform adapter for target orders
    :param zone: the zone
    """

    __slots__ = ('_platform', '_state_by_token', '_zone')

    def __init__(self, platform: TargetOrders, zone: str) -> None:
        self._platform = platform
        self._zone = zone
        self._state_by_token: dict[str, TargetOrderState] = {}

    async def read(self, journal: Journal) -> Market | None:
        """
        Return the targets and order states of the zone.

        :param journal: orders whose states are needed
        :return: the state of the market, or None if the platform call failed
        """
        try:
            return await self._read(journal)
        except CicadahoistError as error:
            logger.debug(
                'targets of zone {0} cannot be read: {1}', self._zone, error
            )
            return None

    async def _read(self, journal: Journal) -> Market:
        if self._may_have_changed(journal):
            # Read the orders before the targets, so that the targets of all
            # completed orders are listed.
            states = await self._platform.fetch_orders(self._zone)
            self._state_by_token = {state.token: state for state in states}
        targets = await self._platform.fetch_targets(self._zone)
        return Market(
            zone=self._zone,
            state_by_token=self._state_by_token,
            running_by_name={target.name: target for target in targets},
        )

    def _may_have_changed(self, journal: Journal) -> bool:
        tokens = [
            build_platform_token(self._zone, entry.token)
            for entry in journal.values()
            if entry.kind == BUY and entry.settled
        ]
        states = [self._state_by_token.get(token) for token in tokens]
        return any(state is None or state.state == ACCEPTED for state in states)
