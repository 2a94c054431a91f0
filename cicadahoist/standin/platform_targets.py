"""Purchase, release and reclaim of targets at the platform stand-in."""

import msgspec

from cicadahoist.outside.platform_messages import (
    RunningTarget,
    TargetOrderCall,
    TargetOrderState,
)

MS_PER_HOUR = 3_600_000
ACCEPTED = 'accepted'
UNAVAILABLE = 'unavailable'
DONE = 'done'


class Spare(msgspec.Struct, frozen=True, kw_only=True):
    """
    A target that can be bought.

    :param price: price per hour, in thousandths of a unit
    :param reclaimable: whether the platform may reclaim the target
    """

    name: str
    zone: str
    url: str
    price: int = 1000
    reclaimable: bool = False


class TargetCounts(msgspec.Struct, kw_only=True):
    """
    Counts of target orders.

    Repeated, stale and differing orders must never arrive.

    :param taken: orders with a new token
    :param repeated: orders with a token that was received before
    :param stale: orders with an older epoch than an earlier order of the zone
    :param differing: repeated tokens with a different order
    :param unavailable: purchases for which no target was available
    """

    taken: int = 0
    repeated: int = 0
    stale: int = 0
    differing: int = 0
    unavailable: int = 0


class BoughtTarget:
    """
    A target that was bought.

    :param spare: description of the target
    :param pool: pool that the target was bought for
    :param since_ms: time from which the target runs
    """

    __slots__ = ('pool', 'reclaim_ms', 'since_ms', 'spare')

    def __init__(self, spare: Spare, pool: str, since_ms: int) -> None:
        self.spare = spare
        self.pool = pool
        self.since_ms = since_ms
        self.reclaim_ms: int | None = None

    def compute_cost(self, until_ms: int) -> float:
        """Return the cost until a time, in thousandths of a unit."""
        run_ms = max(0, until_ms - self.since_ms)
        return self.spare.price * run_ms / MS_PER_HOUR


class TargetMarket:
    """
    Buys and releases targets from a list of spares.

    Orders with a stale epoch are counted but executed, as by a platform
    without fencing tokens.

    :param spares: targets that can be bought
    :param arrival_ms: time in ms from an order until the target runs
    """

    __slots__ = (
        '_arrival_ms',
        '_arrival_ms_by_token',
        '_epoch_by_zone',
        '_orders_by_token',
        '_released_cost',
        '_running',
        '_spares',
        '_states_by_token',
        'counts',
        'unavailable_zones',
    )

    def __init__(self, spares: list[Spare], arrival_ms: int) -> None:
        self.counts = TargetCounts()
        self.unavailable_zones: set[str] = set()
        self._arrival_ms = arrival_ms
        self._spares = spares
        self._released_cost: float = 0
        self._arrival_ms_by_token: dict[str, int] = {}
        self._epoch_by_zone: dict[str, int] = {}
        self._orders_by_token: dict[str, TargetOrderCall] = {}
        self._states_by_token: dict[str, TargetOrderState] = {}
        self._running: dict[str, BoughtTarget] = {}

    def submit_order(
        self, order: TargetOrderCall, now_ms: int
    ) -> TargetOrderState:
        """
        Execute an order; an order with a known token has no effect.

        :return: state of the order, or of the first one with its token
        """
        self._apply_due_changes(now_ms)
        newest = self._epoch_by_zone.get(order.zone, 0)
        if order.epoch < newest:
            self.counts.stale += 1
        self._epoch_by_zone[order.zone] = max(newest, order.epoch)
        known = self._orders_by_token.get(order.token)
        if known is not None:
            self._count_repeated(known, order)
            return self._states_by_token[order.token]
        self.counts.taken += 1
        self._orders_by_token[order.token] = order
        execute = self._buy if order.kind == 'buy' else self._release
        state = execute(order, now_ms)
        self._states_by_token[order.token] = state
        return state

    def list_order_states(
        self, zone: str, now_ms: int
    ) -> list[TargetOrderState]:
        """Return the states of all orders of a zone."""
        self._apply_due_changes(now_ms)
        return [
            self._states_by_token[token]
            for token, order in self._orders_by_token.items()
            if order.zone == zone
        ]

    def list_targets(self, zone: str, now_ms: int) -> list[RunningTarget]:
        """Return the running targets of a zone."""
        self._apply_due_changes(now_ms)
        return [
            _describe_target(target, now_ms)
            for target in self._running.values()
            if target.spare.zone == zone and target.since_ms <= now_ms
        ]

    def schedule_reclaim(self, zone: str, name: str, at_ms: int) -> None:
        """
        Schedule the reclaim of reclaimable targets.

        :param zone: zone whose targets are reclaimed, or empty
        :param name: target that is reclaimed, or empty
        :param at_ms: time at which the targets stop
        """
        for target in self._running.values():
            is_selected = target.spare.name == name or target.spare.zone == zone
            if is_selected and target.spare.reclaimable:
                target.reclaim_ms = at_ms

    def compute_cost(self, now_ms: int) -> float:
        """Return the total cost so far, in thousandths of a unit."""
        self._apply_due_changes(now_ms)
        running = self._running.values()
        return self._released_cost + sum(
            target.compute_cost(now_ms) for target in running
        )

    def _count_repeated(
        self, known: TargetOrderCall, order: TargetOrderCall
    ) -> None:
        self.counts.repeated += 1
        if msgspec.structs.replace(order, epoch=known.epoch) != known:
            self.counts.differing += 1

    def _buy(self, order: TargetOrderCall, now_ms: int) -> TargetOrderState:
        spare = self._find_spare(order)
        if spare is None or order.zone in self.unavailable_zones:
            self.counts.unavailable += 1
            return TargetOrderState(token=order.token, state=UNAVAILABLE)
        self._spares.remove(spare)
        arrival_ms = now_ms + self._arrival_ms
        self._running[spare.name] = BoughtTarget(spare, order.pool, arrival_ms)
        self._arrival_ms_by_token[order.token] = arrival_ms
        return TargetOrderState(
            token=order.token, state=ACCEPTED, target=spare.name
        )

    def _find_spare(self, order: TargetOrderCall) -> Spare | None:
        for spare in self._spares:
            if spare.zone == order.zone:
                if spare.reclaimable == order.reclaimable:
                    return spare
        return None

    def _release(self, order: TargetOrderCall, now_ms: int) -> TargetOrderState:
        self._remove(order.target, now_ms)
        return TargetOrderState(
            token=order.token, state=DONE, target=order.target
        )

    def _remove(self, name: str, now_ms: int) -> None:
        target = self._running.pop(name, None)
        if target is not None:
            self._released_cost += target.compute_cost(now_ms)
            self._spares.append(target.spare)

    def _apply_due_changes(self, now_ms: int) -> None:
        for token, arrival_ms in list(self._arrival_ms_by_token.items()):
            if arrival_ms <= now_ms:
                self._arrival_ms_by_token.pop(token)
                self._states_by_token[token] = msgspec.structs.replace(
                    self._states_by_token[token], state=DONE
                )
        for name, target in list(self._running.items()):
            if target.reclaim_ms is not None and target.reclaim_ms <= now_ms:
                self._remove(name, target.reclaim_ms)


def _describe_target(target: BoughtTarget, now_ms: int) -> RunningTarget:
    reclaim_in_ms = None
    if target.reclaim_ms is not None:
        reclaim_in_ms = target.reclaim_ms - now_ms
    return RunningTarget(
        name=target.spare.name,
        zone=target.spare.zone,
        pool=target.pool,
        url=target.spare.url,
        price=target.spare.price,
        reclaimable=target.spare.reclaimable,
        reclaim_in_ms=reclaim_in_ms,
    )
