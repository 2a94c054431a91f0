"""Computes the demand for targets from the work reported by entries."""

from cicadahoist.clock import Clock
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.messages import InstanceInfo, PoolWork
from cicadahoist.policy.capacity import DEFAULT_SPEEDS
from cicadahoist.policy.fleet import PoolDemand, Role

MAX_WORK_AGE_MS = 5000
GOAL_UTILIZATION = 0.7


class WorkReport:
    """The last work report of an entry and when it was received."""

    __slots__ = ('received_ms', 'work')

    def __init__(self, received_ms: int, work: PoolWork) -> None:
        self.received_ms = received_ms
        self.work = work


class TargetDemand:
    """
    Sums the work of a zone, expressed as a number of engines.

    Work whose callers wait is strict. If an entry does not distinguish the
    two kinds, all its work counts as strict.

    :param link: connection to the entries
    :param clock: clock of the process
    :param zone: the zone
    """

    __slots__ = ('_clock', '_report_by_entry', '_zone')

    def __init__(self, link: EntryLink, clock: Clock, zone: str) -> None:
        self._clock = clock
        self._zone = zone
        self._report_by_entry: dict[str, WorkReport] = {}
        link.subscribe(PoolWork, self._on_work)

    def read(self, pools: set[str]) -> list[PoolDemand]:
        """
        Return the demand by pool, or nothing without a recent report.

        :param pools: pools that have no demand if no entry reports them
        """
        now_ms = self._clock.now_ms()
        self._report_by_entry = {
            name: report
            for name, report in self._report_by_entry.items()
            if now_ms - report.received_ms <= MAX_WORK_AGE_MS
        }
        reports = [report.work for report in self._report_by_entry.values()]
        if not reports:
            return []
        reported_pools = pools.union(*(work.by_pool for work in reports))
        return [_sum_demand(pool, reports) for pool in sorted(reported_pools)]

    def _on_work(self, sender: InstanceInfo, work: PoolWork) -> None:
        if sender.zone == self._zone:
            report = WorkReport(self._clock.now_ms(), work)
            self._report_by_entry[sender.name] = report


def _sum_demand(pool: str, reports: list[PoolWork]) -> PoolDemand:
    total = float(0)
    strict = float(0)
    for work in reports:
        rates = work.by_pool.get(pool, (0, 0))
        total += _compute_engines(rates)
        strict += _compute_engines(work.urgent_by_pool.get(pool, rates))
    return PoolDemand(
        pool=pool,
        strict_engines=strict,
        batch_engines=max(0, total - strict),
    )


def _compute_engines(rates: tuple[float, float]) -> float:
    prompt, output = rates
    speed = DEFAULT_SPEEDS[Role.mixed]
    return (prompt / speed.prefill + output / speed.decode) / GOAL_UTILIZATION
