"""Measures the load of large fleets, and plans their engines by it."""

from collections.abc import Callable, Collection

import msgspec

from cicadahoist.log import get_logger
from cicadahoist.policy.capacity_plan.engine_use import EngineUse
from cicadahoist.policy.capacity_plan.load_sample import LoadSample
from cicadahoist.policy.capacity_plan.role_shares import (
    MEASURE_MS,
    START_DECODE_SHARE,
    compute_max_changing,
    plan_roles_by_share,
)
from cicadahoist.policy.capacity_plan.wanted_engines import (
    Wanted,
    WantedEngines,
)
from cicadahoist.policy.capacity_plan.zone_targets import ZoneTargets
from cicadahoist.policy.fleet_plan import ZoneFleet, ZonePlan
from cicadahoist.policy.role_plan import EngineView, RoleChange
from cicadahoist.rules import EngineSizes, OrderLimits
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.peers import Peers

logger = get_logger(__name__)

# A holder that hears less than this share of the instances knows too little of
# the load to order by it.
MIN_HEARD_SHARE = 0.5


class _ServiceDemand(msgspec.Struct):
    """
    Load of one service.

    :param wanted: the last plan, none before the first
    :param decode_share: share of the engines that should decode
    :param is_measured: whether this share has been measured
    """

    use: EngineUse
    wanted_engines: WantedEngines
    wanted: Wanted | None = None
    decode_share: float = START_DECODE_SHARE
    is_measured: bool = False


class EngineDemand:
    """
    Samples the load in flight at the engines, and plans their number.

    It is a job of the holder of the duties, and does nothing in small fleets.

    :param context: shared parts of the data path
    :param zones: availability zones of the deployment
    :param peers: the instances that are heard from
    """

    __slots__ = (
        '_context',
        '_demand_by_service',
        '_is_cut_off',
        '_peers',
        '_zones',
    )

    def __init__(
        self, context: ServingContext, zones: tuple[str, ...], peers: Peers
    ) -> None:
        self._context = context
        self._is_cut_off = False
        self._peers = peers
        self._zones = zones
        self._demand_by_service: dict[str, _ServiceDemand] = {}

    def begin_term(self) -> None:
        """Forget the load of an earlier term."""
        self._demand_by_service.clear()

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Sample the load of all services that run on engines."""
        deployment = self._context.deployment
        if deployment is None or not self._context.is_large_fleet:
            return
        now_ms = self._context.clock.now_ms()
        heard_share = self._compute_heard_share(now_ms)
        self._set_cut_off(is_cut_off=heard_share < MIN_HEARD_SHARE)
        if self._is_cut_off:
            return
        for rule in deployment.services_by_name.values():
            if rule.engine is not None:
                sample = self._sample(rule.name).scale(1 / heard_share)
                self._get(rule.name).use.record(sample, now_ms)

    def _compute_heard_share(self, now_ms: int) -> float:
        """Return the share of the instances whose load is known."""
        heard_count = 1 + len(self._peers.list_alive(now_ms))
        return min(1, heard_count / self._context.demand.instance_count)

    def _set_cut_off(self, *, is_cut_off: bool) -> None:
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            logger.bind(is_cut_off=is_cut_off).info(
                'load of most instances known or unknown to the holder'
            )

    def _sample(self, service: str) -> LoadSample:
        fleet = self._context.fleet
        names = [
            listing.name
            for listing in fleet.directory.list_all()
            if listing.service == service
        ]
        return LoadSample.of_board(fleet.boards.get_board(service), names)

    def is_idle(self, service: str) -> bool:
        """Return whether no instance sends anything to the engines."""
        return self._get(service).use.is_idle(self._context.clock.now_ms())

    def plan_roles(
        self, service: str, engines: list[EngineView]
    ) -> list[RoleChange]:
        """Return the role changes to order now."""
        demand = self._get(service)
        wanted = demand.wanted
        if wanted is None or self._is_cut_off:
            return []
        max_changing_count = len(engines)
        if not self.is_idle(service):
            max_changing_count = compute_max_changing(
                len(engines), wanted.count
            )
            self._measure_share(demand, wanted)
        changes = plan_roles_by_share(
            engines,
            demand.decode_share,
            max_changing_count,
            leaves_steady=not demand.is_measured,
        )
        if changes:
            logger.bind(
                service=service,
                decode_share=round(demand.decode_share, 2),
                prefill_need=round(wanted.need.prefill, 2),
                decode_need=round(wanted.need.decode, 2),
                changes=len(changes),
            ).info('roles decided')
        return changes

    def _measure_share(self, demand: _ServiceDemand, wanted: Wanted) -> None:
        loaded_ms = demand.use.count_loaded_ms(self._context.clock.now_ms())
        if loaded_ms >= MEASURE_MS:
            demand.decode_share = wanted.need.decode_share
            demand.is_measured = True

    def plan_zones(
        self,
        service: str,
        sizes: EngineSizes,
        limits: OrderLimits,
        fleets: list[ZoneFleet],
        lacking_zones: Collection[str],
    ) -> list[ZonePlan]:
        """
        Return the engines to have in each availability zone.

        While most instances are not heard, nothing is to be ordered.

        :param fleets: present engines of each zone
        :param lacking_zones: zones without reclaimable engines to order
        """
        if self._is_cut_off:
            return []
        demand = self._get(service)
        now_ms = self._context.clock.now_ms()
        wanted = demand.wanted_engines.compute(
            limits,
            sizes,
            sum(fleet.steady_count + fleet.cheap_count for fleet in fleets),
            self._context.demand.prefill_times.compute_mean_ms(now_ms),
            now_ms,
        )
        if demand.wanted is None or wanted.count != demand.wanted.count:
            self._context.meters.capacity.count_decision()
            _log_decision(service, wanted, lacking_zones)
        demand.wanted = wanted
        return ZoneTargets(limits, fleets, lacking_zones).plan_zones(
            wanted.count, wanted.needed_count
        )

    def _get(self, service: str) -> _ServiceDemand:
        demand = self._demand_by_service.get(service)
        if demand is None:
            use = EngineUse()
            demand = _ServiceDemand(use, WantedEngines(use, len(self._zones)))
            self._demand_by_service[service] = demand
        return demand


def _log_decision(
    service: str, wanted: Wanted, lacking_zones: Collection[str]
) -> None:
    mean = wanted.mean
    logger.bind(
        service=service,
        wanted=wanted.count,
        needed=wanted.needed_count,
        busy_prefill=round(mean.prefill_count, 2),
        runs=round(mean.run_count, 1),
        kv_tokens=round(mean.kv_tokens),
        prefill_need=round(wanted.need.prefill, 2),
        decode_need=round(wanted.need.decode, 2),
        lacking_zones=sorted(lacking_zones),
    ).info('number of engines decided')
