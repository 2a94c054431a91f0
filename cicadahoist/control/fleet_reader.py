"""Reads the engines and the workload of a zone for the planners."""

from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from cicadahoist.clock import Clock
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.expected_changes import ExpectedChanges
from cicadahoist.control.targets import Targets
from cicadahoist.errors import CicadahoistError
from cicadahoist.messages import InstanceInfo, PoolWork
from cicadahoist.outside.engine import EngineAdapter, EngineLoad
from cicadahoist.policy.fleet import (
    FleetView,
    ModelDemand,
    PoolDemand,
    Role,
    TargetPhase,
    TargetView,
)
from cicadahoist.protocol.order_events import PlanOrder
from cicadahoist.table import RouteKind, Target

MAX_WORK_AGE_MS = 5000
UNANSWERED_READ_LIMIT = 3
UNREACHABLE_BACKOFF_MS = 15_000
UNKNOWN_SIZE_MB = 1000
ABSENT_MODEL_MISSES_PER_S = 1


class FleetReader:
    """
    Builds the fleet view of one zone.

    :param engines: engine adapter
    :param targets: targets in the operators' table
    :param link: connection to the entries
    :param clock: clock of the process
    :param zone: the zone
    """

    __slots__ = (
        '_backoff_until_ms',
        '_clock',
        '_engines',
        '_expected',
        '_targets',
        '_unanswered_read_count',
        '_work_by_entry',
        '_zone',
    )

    def __init__(
        self,
        engines: EngineAdapter,
        targets: Targets,
        link: EntryLink,
        clock: Clock,
        zone: str,
    ) -> None:
        self._engines = engines
        self._targets = targets
        self._clock = clock
        self._zone = zone
        self._expected = ExpectedChanges()
        self._unanswered_read_count = 0
        self._backoff_until_ms = 0
        self._work_by_entry: dict[str, tuple[int, PoolWork]] = {}
        link.subscribe(PoolWork, self._on_work)

    async def read(self, changing: set[str]) -> FleetView:
        """
        Return the current view without the engines that do not respond.

        :param changing: names of targets with a change in progress
        """
        await self._targets.refresh()
        engines = self._targets.list_engines(self._zone)
        results = await DeferredList(
            [
                Deferred.fromCoroutine(self._fetch_load(each))
                for each in engines
            ],
            consumeErrors=True,
        )
        loads: list[Any] = [load for _, load in results]
        views = [
            self._expected.apply(
                _build_view(target, load, is_changing=target.name in changing),
                self._clock.now_ms(),
            )
            for target, load in zip(engines, loads, strict=True)
            if isinstance(load, EngineLoad)
        ]
        self._record_answers(expected=len(engines), answered=len(views))
        return FleetView(
            targets=views,
            demands=self._sum_demands(),
            models=self._list_absent_models(views),
            zones=[self._zone],
        )

    def record_expected(self, plan: PlanOrder) -> None:
        """Show a requested change in the view before load reports do."""
        self._expected.record(plan, self._clock.now_ms())

    def is_reachable(self) -> bool:
        """
        Return whether this process may continue to order the zone's engines.

        It may not for some time after several reads without any response.
        """
        return self._clock.now_ms() >= self._backoff_until_ms

    def _record_answers(self, *, expected: int, answered: int) -> None:
        self._unanswered_read_count += 1
        if answered or not expected:
            self._unanswered_read_count = 0
        if self._unanswered_read_count == UNANSWERED_READ_LIMIT:
            # Back off: another instance of the zone may reach the engines.
            self._unanswered_read_count = 0
            self._backoff_until_ms = (
                self._clock.now_ms() + UNREACHABLE_BACKOFF_MS
            )

    async def _fetch_load(self, target: Target) -> EngineLoad | None:
        try:
            return await self._engines.fetch_load(target)
        except CicadahoistError:
            return None

    def _sum_demands(self) -> list[PoolDemand]:
        oldest_ms = self._clock.now_ms() - MAX_WORK_AGE_MS
        by_pool: dict[str, PoolDemand] = {}
        for received_ms, work in self._work_by_entry.values():
            if received_ms >= oldest_ms:
                _add_work(by_pool, work)
        return list(by_pool.values())

    def _list_absent_models(self, views: list[TargetView]) -> list[ModelDemand]:
        table = self._targets.table
        if table is None:
            return []
        loaded = {(view.pool, model) for view in views for model in view.models}
        return [
            ModelDemand(
                pool=route.pool,
                model=route.name,
                size_mb=UNKNOWN_SIZE_MB,
                missed_per_s=ABSENT_MODEL_MISSES_PER_S,
            )
            for route in table.routes_by_name.values()
            if route.kind is RouteKind.model
            and (route.pool, route.name) not in loaded
        ]

    def _on_work(self, sender: InstanceInfo, work: PoolWork) -> None:
        if sender.zone == self._zone:
            self._work_by_entry[sender.name] = (self._clock.now_ms(), work)


def _add_work(by_pool: dict[str, PoolDemand], work: PoolWork) -> None:
    for pool, (prompt, output) in work.by_pool.items():
        known = by_pool.get(pool, PoolDemand(pool=pool))
        by_pool[pool] = PoolDemand(
            pool=pool,
            prefill_per_ms=known.prefill_per_ms + prompt,
            decode_per_ms=known.decode_per_ms + output,
        )


def _build_view(
    target: Target, load: EngineLoad, *, is_changing: bool
) -> TargetView:
    phase = TargetPhase.ready
    if is_changing:
        phase = TargetPhase.changing
    if target.draining:
        phase = TargetPhase.leaving
    return TargetView(
        name=target.name,
        pool=target.pool,
        zone=target.zone,
        role=Role(load.role),
        phase=phase,
        price=target.price,
        reclaimable=target.reclaimable,
        open_requests=load.running + load.queued,
        models=frozenset(load.models),
    )
