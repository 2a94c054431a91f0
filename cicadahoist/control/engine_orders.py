"""Sends orders to engines and reads their progress."""

from cicadahoist.control.targets import Targets
from cicadahoist.errors import BusyError, CicadahoistError, FencedError
from cicadahoist.log import get_logger
from cicadahoist.outside.engine import (
    EngineAdapter,
    EngineOrder,
    EngineOrders,
)
from cicadahoist.protocol.order_events import (
    OrderDone,
    OrderProgress,
    OrderRefused,
    OrderUnanswered,
    TargetGone,
    TargetRead,
)
from cicadahoist.protocol.records import JournalEntry

logger = get_logger(__name__)

OrderEvent = OrderDone | OrderRefused | OrderUnanswered | TargetGone


class EngineSender:
    """
    Sends single orders to engines.

    :param engines: engine adapter
    :param targets: targets in the operators' table
    """

    __slots__ = ('_engines', '_targets')

    def __init__(self, engines: EngineAdapter, targets: Targets) -> None:
        self._engines = engines
        self._targets = targets

    async def send(self, entry: JournalEntry) -> OrderEvent:
        """
        Send an order.

        An accepted order counts as done only when the engine reports it done.
        """
        target = self._targets.find(entry.target)
        if target is None:
            return self._report_unknown(entry.target, entry.token)
        order = EngineOrder(
            epoch=entry.epoch,
            seq=entry.seq,
            kind=entry.kind,
            argument=entry.argument,
        )
        try:
            await self._engines.send_order(target, order)
        except BusyError:
            return OrderUnanswered(entry.target, entry.token)
        except FencedError as fenced:
            logger.warning('order refused by its engine: {0}', fenced)
            return OrderRefused(entry.target, entry.token)
        except CicadahoistError as error:
            logger.info(
                'order {0} has no conclusive response: {1}', entry.token, error
            )
            return OrderUnanswered(entry.target, entry.token)
        return await self._confirm(entry)

    async def read(
        self, name: str, token: str
    ) -> TargetRead | TargetGone | None:
        """
        Read the progress of an order.

        :return: the progress, or None if the engine does not respond
        """
        target = self._targets.find(name)
        if target is None:
            return TargetGone(name) if self._targets.is_loaded else None
        try:
            orders = await self._engines.read_orders(target)
        except CicadahoistError as error:
            logger.debug('orders of {0} cannot be read: {1}', name, error)
            return None
        return TargetRead(name, token, read_progress(orders, token))

    def _report_unknown(self, name: str, token: str) -> OrderEvent:
        if self._targets.is_loaded:
            return TargetGone(name)
        return OrderUnanswered(name, token)

    async def _confirm(self, entry: JournalEntry) -> OrderEvent:
        event = await self.read(entry.target, entry.token)
        if (
            isinstance(event, TargetRead)
            and event.progress is OrderProgress.done
        ):
            return OrderDone(entry.target, entry.token)
        return OrderUnanswered(entry.target, entry.token)


def read_progress(orders: EngineOrders, token: str) -> OrderProgress:
    """
    Return the progress of an order according to the state of its engine.

    While the engine executes any order, no order counts as absent: the one
    in progress may be the one in question.
    """
    if orders.changing:
        return OrderProgress.changing
    if f'{orders.epoch}.{orders.seq}' == token:
        return OrderProgress.done
    return OrderProgress.absent
