"""Orders to the engine stand-in, and the conflicts among them."""

import msgspec

from cicadahoist.outside.engine_messages import EngineOrder, EngineOrders

KINDS = frozenset(('role', 'model', 'adapter', 'version', 'drain'))


class OrderCounts(msgspec.Struct, kw_only=True):
    """
    Orders that must never arrive.

    :param overlapping: arrived while another order was in progress
    :param stale: carried an older fencing number or sequence number
    :param stale_run: stale ones that were carried out
    :param differing: reused a fencing and sequence number for another order
    """

    taken: int = 0
    overlapping: int = 0
    stale: int = 0
    stale_run: int = 0
    differing: int = 0


class OrderBook:
    """
    Decides which orders an engine takes.

    :param fencing: whether stale orders are refused
    :param models: models that are loaded at the start
    """

    __slots__ = (
        '_fencing',
        '_last',
        'adapters',
        'changing',
        'counts',
        'draining',
        'is_away',
        'models',
        'role',
        'versions',
    )

    def __init__(self, models: list[str], *, fencing: bool) -> None:
        self.role = 'mixed'
        self.models = models
        self.adapters: list[str] = []
        self.versions = {model: '1' for model in models}
        self.draining = False
        self.changing = False
        self.is_away = False
        self.counts = OrderCounts()
        self._fencing = fencing
        self._last = EngineOrder(epoch=0, seq=0, kind='')

    def is_repeated(self, order: EngineOrder) -> bool:
        """Tell whether an order is the last one, sent again."""
        return order == self._last

    def is_refused(self, order: EngineOrder) -> bool:
        """Count a stale order and tell whether it is refused."""
        last = (self._last.epoch, self._last.seq)
        given = (order.epoch, order.seq)
        if given > last:
            return False
        if given == last:
            self.counts.differing += 1
        self.counts.stale += 1
        if not self._fencing:
            self.counts.stale_run += 1
        return self._fencing

    def is_overlapping(self) -> bool:
        """Count an order that meets another one in progress."""
        if self.changing:
            self.counts.overlapping += 1
        return self.changing

    def take(self, order: EngineOrder) -> None:
        """Begin to carry an order out; a drain is done at once."""
        self._last = order
        self.counts.taken += 1
        self.changing = order.kind != 'drain'
        if order.kind == 'drain':
            self.draining = order.argument != 'off'
        elif order.kind == 'role':
            self.is_away = True

    def finish(self) -> None:
        """Let the order in progress take effect."""
        argument = self._last.argument
        match self._last.kind:
            case 'role':
                self.role = argument
            case 'model':
                self._load(argument)
            case 'adapter':
                self.adapters = [*self.adapters, argument]
            case 'version':
                model, _, version = argument.partition('=')
                self.versions = {**self.versions, model: version}
        self.changing = False
        self.is_away = False

    def report(self) -> EngineOrders:
        """Return the last order and the state."""
        return EngineOrders(
            epoch=self._last.epoch,
            seq=self._last.seq,
            role=self.role,
            models=self.models,
            adapters=self.adapters,
            versions=self.versions,
            changing=self.changing,
        )

    def _load(self, model: str) -> None:
        if model not in self.models:
            self.models = [*self.models, model]
            self.versions = {**self.versions, model: '1'}
