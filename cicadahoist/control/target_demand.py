"""Demand for targets, from the work that entries of a zone report."""

from cicadahoist.clock import Clock
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.messages import InstanceInfo, PoolWork
from cicadahoist.policy.capacity import DEFAULT_SPEEDS
from cicadahoist.policy.fleet import PoolDemand, Role

WORK_AGE_MS = 5000
FILL_GOAL = 0.7


class HeardWork:
    """The last report of an entry."""

    __slots__ = ('at_ms', 'work')

    def __init__(self, at_ms: int, work: PoolWork) -> None:
        self.at_ms = at_ms
        self.work = work


class TargetDemand:
    """
    Adds up the work of a zone in engines.

    Work whose callers wait is strict. An entry that does not tell the two
    kinds apart has all its work counted as strict.

    :param link: way to the entries
    :param clock: gives the time
    :param zone: the zone
    """

    __slots__ = ('_clock', '_heard_by_entry', '_zone')

    def __init__(self, link: EntryLink, clock: Clock, zone: str) -> None:
        self._clock = clock
        self._zone = zone
        self._heard_by_entry: dict[str, HeardWork] = {}
        link.subscribe(PoolWork, self._on_work)

    def read(self, pools: set[str]) -> list[PoolDemand]:
        """
        Return the demand by pool; nothing while no entry is heard.

        :param pools: pools that count as idle where no entry names them
        """
        now_ms = self._clock.now_ms()
        self._heard_by_entry = {
            name: heard
            for name, heard in self._heard_by_entry.items()
            if now_ms - heard.at_ms <= WORK_AGE_MS
        }
        works = [heard.work for heard in self._heard_by_entry.values()]
        if not works:
            return []
        named = pools.union(*(work.by_pool for work in works))
        return [_demand(pool, works) for pool in sorted(named)]

    def _on_work(self, sender: InstanceInfo, work: PoolWork) -> None:
        if sender.zone == self._zone:
            heard = HeardWork(self._clock.now_ms(), work)
            self._heard_by_entry[sender.name] = heard


def _demand(pool: str, works: list[PoolWork]) -> PoolDemand:
    total = float(0)
    strict = float(0)
    for work in works:
        rates = work.by_pool.get(pool, (0, 0))
        total += _engines(rates)
        strict += _engines(work.urgent_by_pool.get(pool, rates))
    return PoolDemand(
        pool=pool,
        strict_engines=strict,
        batch_engines=max(0, total - strict),
    )


def _engines(rates: tuple[float, float]) -> float:
    prompt, output = rates
    speed = DEFAULT_SPEEDS[Role.mixed]
    return (prompt / speed.prefill + output / speed.decode) / FILL_GOAL
