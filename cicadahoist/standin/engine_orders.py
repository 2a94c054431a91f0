"""Orders to the engine stand-in and the counts of their conflicts."""

import msgspec

from cicadahoist.outside.engine_messages import EngineOrder, EngineOrders

ORDER_KINDS = frozenset(('role', 'model', 'adapter', 'version', 'drain'))


class OrderCounts(msgspec.Struct, kw_only=True):
    """
    Counts of orders; all but ``taken`` count orders that must never arrive.

    :param taken: orders that were executed
    :param overlapping: orders that arrived while another one was in progress
    :param stale: orders whose fencing token or sequence number is not newer
        than that of the last order
    :param stale_run: stale orders that fencing did not refuse
    :param differing: orders that reused the fencing token and sequence number
        of another order
    """

    taken: int = 0
    overlapping: int = 0
    stale: int = 0
    stale_run: int = 0
    differing: int = 0


class OrderBook:
    """
    State that orders change, and the checks whether an order is accepted.

    :param models: models that are loaded at the start
    :param fencing: whether stale orders are refused
    """

    __slots__ = (
        '_fencing',
        '_last_order',
        'adapters',
        'counts',
        'is_changing',
        'is_draining',
        'is_unavailable',
        'models',
        'role',
        'versions',
    )

    def __init__(self, models: list[str], *, fencing: bool) -> None:
        self.role = 'mixed'
        self.models = models
        self.adapters: list[str] = []
        self.versions = {model: '1' for model in models}
        self.is_draining = False
        self.is_changing = False
        self.is_unavailable = False
        self.counts = OrderCounts()
        self._fencing = fencing
        self._last_order = EngineOrder(epoch=0, seq=0, kind='')

    def is_repeated(self, order: EngineOrder) -> bool:
        """Return whether an order is a repetition of the last one."""
        return order == self._last_order

    def refuses_stale(self, order: EngineOrder) -> bool:
        """Count an order if it is stale, and return whether it is refused."""
        newest = (self._last_order.epoch, self._last_order.seq)
        received = (order.epoch, order.seq)
        if received > newest:
            return False
        if received == newest:
            self.counts.differing += 1
        self.counts.stale += 1
        if not self._fencing:
            self.counts.stale_run += 1
        return self._fencing

    def is_overlapping(self) -> bool:
        """Count an order that overlaps another one; return whether it does."""
        if self.is_changing:
            self.counts.overlapping += 1
        return self.is_changing

    def begin(self, order: EngineOrder) -> None:
        """Begin to execute an order; a drain takes effect immediately."""
        self._last_order = order
        self.counts.taken += 1
        self.is_changing = order.kind != 'drain'
        if order.kind == 'drain':
            self.is_draining = order.argument != 'off'
        elif order.kind == 'role':
            self.is_unavailable = True

    def finish(self) -> None:
        """Apply the effect of the order in progress."""
        argument = self._last_order.argument
        match self._last_order.kind:
            case 'role':
                self.role = argument
            case 'model':
                self._add_model(argument)
            case 'adapter':
                self.adapters = [*self.adapters, argument]
            case 'version':
                model, _, version = argument.partition('=')
                self.versions = {**self.versions, model: version}
        self.is_changing = False
        self.is_unavailable = False

    def report(self) -> EngineOrders:
        """Return the number of the last order and the resulting state."""
        return EngineOrders(
            epoch=self._last_order.epoch,
            seq=self._last_order.seq,
            role=self.role,
            models=self.models,
            adapters=self.adapters,
            versions=self.versions,
            changing=self.is_changing,
        )

    def _add_model(self, model: str) -> None:
        if model not in self.models:
            self.models = [*self.models, model]
            self.versions = {**self.versions, model: '1'}
