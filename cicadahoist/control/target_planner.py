"""Decides which targets to buy and release in a zone."""

from collections import Counter
from collections.abc import Callable

import msgspec

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.control.fleet_reader import FleetReader
from cicadahoist.control.target_demand import TargetDemand
from cicadahoist.control.target_duty import TargetDuty
from cicadahoist.control.target_orders import DEDICATED, RECLAIMABLE
from cicadahoist.control.target_rows import TargetRows
from cicadahoist.control.target_slots import Slot, SlotPhase
from cicadahoist.policy.fleet import (
    FleetView,
    PoolDemand,
    TargetPhase,
    TargetView,
)
from cicadahoist.policy.forecast import DAY_MS
from cicadahoist.policy.spending import (
    SpendingPlanner,
    TargetOrder,
    TargetRelease,
)
from cicadahoist.table import Target

BUY_RETRY_MS = 30_000
PENDING_PHASES = frozenset((SlotPhase.ordering, SlotPhase.arriving))

SlotsByName = dict[str, Slot]


class TargetPlanner:
    """
    Executes the plans of the spending policy within the configured limits.

    :param duty: executes purchases and releases
    :param rows: table rows of the zone
    :param reader: reads the loads of the zone's engines
    :param demand: computes the demand of the zone
    :param clock: clock of the process
    :param zone: the zone
    :param most_ordered: maximum of bought targets per pool, 0 to buy none
    :param read_wall_ms: reads the wall clock, in ms since the Unix epoch
    """

    __slots__ = (
        '_clock',
        '_demand',
        '_duty',
        '_most_ordered',
        '_read_wall_ms',
        '_reader',
        '_rows',
        '_spending',
        '_zone',
    )

    def __init__(
        self,
        duty: TargetDuty,
        rows: TargetRows,
        reader: FleetReader,
        demand: TargetDemand,
        clock: Clock,
        *,
        zone: str,
        most_ordered: int,
        read_wall_ms: Callable[[], int] = wall_ms,
    ) -> None:
        self._duty = duty
        self._rows = rows
        self._reader = reader
        self._demand = demand
        self._clock = clock
        self._zone = zone
        self._most_ordered = most_ordered
        self._read_wall_ms = read_wall_ms
        self._spending = SpendingPlanner()

    async def read_view(self, slots: SlotsByName) -> FleetView:
        """Return the fleet view, including targets that are on order."""
        fleet = await self._reader.read(self._duty.list_draining())
        answered = {view.name for view in fleet.targets}
        # Count ordered targets that do not respond yet, so that they are not
        # bought twice.
        silent = [
            _build_row_view(row)
            for row in self._rows.list_ordered()
            if row.name not in answered
        ]
        pending = [
            _build_slot_view(slot, self._zone)
            for slot in slots.values()
            if slot.phase in PENDING_PHASES
        ]
        pools = {slot.pool for slot in slots.values()}
        fixed_count_by_pool = Counter(
            target.pool for target in fleet.targets if self._is_fixed(target)
        )
        is_cheap_refused = self._is_refused(RECLAIMABLE)
        return msgspec.structs.replace(
            fleet,
            targets=[*fleet.targets, *silent, *pending],
            demands=[
                _raise_to_fixed(demand, fixed_count_by_pool[demand.pool])
                for demand in self._demand.read(pools)
            ],
            cheap_unavailable=frozenset(
                (self._zone,) if is_cheap_refused else ()
            ),
            day_ms=self._read_wall_ms() % DAY_MS,
        )

    async def plan(self, view: FleetView, slots: SlotsByName) -> None:
        """Run the policy and execute the planned purchases and releases."""
        if not any(
            target.phase is TargetPhase.ready for target in view.targets
        ):
            # This process may be unable to reach the engines.
            return
        taken = {
            name
            for name, slot in slots.items()
            if slot.phase is not SlotPhase.free
        }
        for plan in self._spending.plan(view, self._clock.now_ms()):
            match plan:
                case TargetOrder():
                    self._buy(plan, taken)
                case TargetRelease():
                    await self._release(plan, view)

    def _buy(self, order: TargetOrder, taken: set[str]) -> None:
        kind = RECLAIMABLE if order.reclaimable else DEDICATED
        if self._is_refused(kind):
            return
        for number in range(self._most_ordered):
            slot = f'{order.pool}/{number}'
            if slot not in taken:
                taken.add(slot)
                self._duty.buy(slot, reclaimable=order.reclaimable)
                return

    async def _release(self, release: TargetRelease, view: FleetView) -> None:
        by_name = {target.name: target for target in view.targets}
        planned = by_name[release.target]
        ordered = {row.name for row in self._rows.list_ordered()}
        # Only targets that control bought may be released.
        choices = [
            target
            for target in view.of_pool(planned.pool)
            if target.name in ordered
            and target.reclaimable == planned.reclaimable
            and target.phase is TargetPhase.ready
        ]
        if choices:
            idlest = min(choices, key=lambda target: target.open_requests)
            await self._rows.drain(idlest.name)

    def _is_fixed(self, target: TargetView) -> bool:
        row = self._rows.find(target.name)
        is_ordered = row is not None and row.ordered
        is_leaving = target.phase is TargetPhase.leaving
        return not (is_ordered or target.reclaimable or is_leaving)

    def _is_refused(self, kind: str) -> bool:
        refused_ms = self._duty.refused_ms_by_kind.get(kind)
        if refused_ms is None:
            return False
        return self._clock.now_ms() - refused_ms < BUY_RETRY_MS


def _raise_to_fixed(demand: PoolDemand, fixed_count: int) -> PoolDemand:
    # Operators' targets are never released, so strict demand is at least
    # their number and work is assigned to them first.
    strict = max(demand.strict_engines, fixed_count)
    total = demand.strict_engines + demand.batch_engines
    return PoolDemand(
        pool=demand.pool,
        strict_engines=strict,
        batch_engines=max(0, total - strict),
    )


def _build_row_view(row: Target) -> TargetView:
    phase = TargetPhase.leaving if row.draining else TargetPhase.changing
    return TargetView(
        name=row.name,
        pool=row.pool,
        zone=row.zone,
        phase=phase,
        reclaimable=row.reclaimable,
    )


def _build_slot_view(slot: Slot, zone: str) -> TargetView:
    return TargetView(
        name=slot.name,
        pool=slot.pool,
        zone=zone,
        phase=TargetPhase.ordered,
        reclaimable=slot.reclaimable,
    )
