"""Demand that arrives at this entry, by pool."""

from cicadahoist.messages import PoolWork
from cicadahoist.policy.demand import DemandMeter
from cicadahoist.policy.tickets import Ticket


class PoolDemands:
    """Measures the demand that the planners use."""

    __slots__ = ('_meter_by_pool',)

    def __init__(self) -> None:
        self._meter_by_pool: dict[str, DemandMeter] = {}

    def record_arrival(self, ticket: Ticket, now_ms: int) -> None:
        """Record a request that waits for admission."""
        meter = self._meter_by_pool.setdefault(ticket.pool, DemandMeter())
        if ticket.is_urgent:
            meter.record_arrival(ticket.cost, now_ms)
        else:
            meter.add_deferred(ticket.request_id, ticket.cost, ticket.due_ms)

    def record_end(self, ticket: Ticket) -> None:
        """Record the end of a request, whatever its outcome."""
        meter = self._meter_by_pool.get(ticket.pool)
        if meter is not None:
            meter.remove_deferred(ticket.request_id)

    def measure_work(self, now_ms: int) -> PoolWork:
        """Return the present demand of all pools."""
        by_pool = {}
        urgent_by_pool = {}
        for pool, meter in self._meter_by_pool.items():
            demand = meter.measure(pool, now_ms)
            by_pool[pool] = (demand.prefill_per_ms, demand.decode_per_ms)
            urgent_by_pool[pool] = (
                demand.urgent_prefill_per_ms,
                demand.urgent_decode_per_ms,
            )
        return PoolWork(by_pool=by_pool, urgent_by_pool=urgent_by_pool)
