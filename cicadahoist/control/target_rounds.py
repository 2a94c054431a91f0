"""Reconciles journal, platform and table while holding the lease."""

from cicadahoist.clock import Clock
from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.control.target_duty import TargetDuty
from cicadahoist.control.target_market import MarketReader
from cicadahoist.control.target_planner import TargetPlanner
from cicadahoist.control.target_rows import TargetRows
from cicadahoist.control.target_slots import (
    Journal,
    Market,
    Slot,
    SlotPhase,
    SlotReader,
)
from cicadahoist.mesh.background import Background

ROUND_PERIOD_MS = 1000
ROUNDS_PER_PLAN = 5


class TargetRounds:
    """
    Runs periodic rounds: read, update the table, drain, plan.

    :param task: competes for the lease of the zone's targets
    :param duty: executes purchases and releases
    :param market: reads the platform
    :param rows: table rows of the zone
    :param planner: decides what to buy and release
    :param clock: clock of the process
    """

    __slots__ = (
        '_background',
        '_clock',
        '_duty',
        '_market',
        '_planner',
        '_round_count',
        '_rows',
        '_task',
    )

    def __init__(
        self,
        task: LeaseTask,
        duty: TargetDuty,
        market: MarketReader,
        rows: TargetRows,
        planner: TargetPlanner,
        clock: Clock,
    ) -> None:
        self._task = task
        self._duty = duty
        self._market = market
        self._rows = rows
        self._planner = planner
        self._clock = clock
        self._round_count = 0
        self._background = Background(clock, self._step)

    async def start(self) -> None:
        """Start the rounds."""
        self._background.start()

    async def stop(self) -> None:
        """Stop the rounds."""
        self._background.stop()

    async def _step(self) -> None:
        await self._clock.sleep(ROUND_PERIOD_MS)
        if not self._task.is_holder:
            return
        # Copy the journal before reading the platform; see SlotReader.
        journal = self._duty.journal()
        market = await self._market.read(journal)
        await self._rows.refresh()
        if market is None or not self._is_current(journal):
            return
        if self._rows.is_loaded:
            await self._compare(journal, market)

    async def _compare(self, journal: Journal, market: Market) -> None:
        reader = SlotReader(journal, market, self._rows.list_ordered())
        slots = reader.build_slots()
        await self._rows.synchronize(slots.values(), reader, market)
        if not self._is_current(journal):
            return
        for slot in slots.values():
            if self._is_leaving(slot, market):
                self._duty.release(slot)
        self._round_count += 1
        if self._round_count % ROUNDS_PER_PLAN == 0:
            view = await self._planner.read_view(slots)
            if self._is_current(journal):
                await self._planner.plan(view, slots)

    def _is_leaving(self, slot: Slot, market: Market) -> bool:
        if slot.phase is not SlotPhase.running:
            return False
        row = self._rows.find(slot.row)
        reclaim_in_ms = market.running_by_name[slot.target].reclaim_in_ms
        is_reclaimed = reclaim_in_ms is not None
        return row is not None and (row.draining or is_reclaimed)

    def _is_current(self, journal: Journal) -> bool:
        return self._task.is_holder and journal == self._duty.journal()
