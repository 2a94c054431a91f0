"""Orders targets and engine roles as the fleet plan and role plan want."""

from collections.abc import Callable, Collection

import msgspec

from cicadahoist.clock import Clock
from cicadahoist.errors import TargetError
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.policy.fleet_plan import (
    FleetPlan,
    ZoneFleet,
    ZonePlan,
    count_wanted_targets,
)
from cicadahoist.policy.role_plan import EngineView, RoleChange, plan_roles
from cicadahoist.rules import OrderLimits, ServiceRule
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.duty_calls import (
    DutyInterface,
    OrderReply,
    RoleOrders,
    TargetOrder,
)
from cicadahoist.serving.engine_demand import EngineDemand

logger = get_logger(__name__)

# An order is repeated if its targets are not listed this long after their boot
# time.
LISTING_DELAY_MS = 1500
# An order that was not accepted is repeated after this time.
UNAVAILABLE_RETRY_MS = 1500
# A role order without an answer may still take effect within this time.
LATE_EFFECT_MS = 13_000
# In large fleets, an engine is closed to new work for this time before its role
# is ordered: peers learn of the closure up to 280 ms later, and what they send
# meanwhile has begun or has fetched its KV cache by then.
CLOSED_BEFORE_MS = 500
# Without an order, such a closure ends after this time.
UNORDERED_CLOSURE_MS = 2500
# An engine finishes running requests before it changes its role; this covers
# the longest answers of a day.
ENGINE_DRAIN_MS = 15_000


class _SentOrder(msgspec.Struct, frozen=True):
    """
    The last order for one kind of targets, and when it expires.

    :param count: targets that were ordered
    :param listed_by_ms: time by which the targets should be listed, 0 for an
        order that was not accepted
    :param retry_ms: time after which to order missing targets again
    :param is_lacking: whether the platform had none of them
    """

    count: int
    listed_by_ms: int
    retry_ms: int
    is_lacking: bool = False


class TargetScalingJob:
    """
    Keeps the target counts of all services as the fleet plan wants them.

    :param context: shared parts of the data path
    :param interface: accepts the orders
    :param zones: availability zones of the deployment
    :param demand: plans the engines of large fleets
    """

    __slots__ = (
        '_context',
        '_demand',
        '_interface',
        '_last_order_by_key',
        '_start_count_by_service',
        '_zones',
    )

    def __init__(
        self,
        context: ServingContext,
        interface: DutyInterface,
        zones: tuple[str, ...],
        demand: EngineDemand,
    ) -> None:
        self._context = context
        self._demand = demand
        self._interface = interface
        self._zones = zones
        self._last_order_by_key: dict[tuple[str, str, bool], _SentOrder] = {}
        self._start_count_by_service: dict[str, int] = {}

    def begin_term(self) -> None:
        """Forget the orders of an earlier term."""
        self._last_order_by_key.clear()

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Order the target counts that differ from the plan."""
        deployment = self._context.deployment
        if deployment is None or not self._context.fleet.is_settled:
            return
        for rule in deployment.services_by_name.values():
            limits = rule.orders
            if limits is not None:
                for zone_plan in self._plan_zones(rule, limits):
                    await self._order_both_kinds(
                        rule, limits, zone_plan, epoch, may_act
                    )

    async def _order_both_kinds(
        self,
        rule: ServiceRule,
        limits: OrderLimits,
        zone_plan: ZonePlan,
        epoch: int,
        may_act: Callable[[], bool],
    ) -> None:
        # Both kinds share the places of a zone: an order that lowers one count
        # makes room for the other kind.
        for is_cheap in (False, True):
            if may_act():
                await self._order(rule, limits, zone_plan, epoch, is_cheap)

    def _plan_zones(
        self, rule: ServiceRule, limits: OrderLimits
    ) -> list[ZonePlan]:
        listings = self._context.fleet.directory.list_usable(rule.name)
        start_count = self._start_count_by_service.setdefault(
            rule.name, len(listings)
        )
        fleets = [
            self._count_zone(rule, listings, zone) for zone in self._zones
        ]
        if rule.engine is not None and self._context.is_large_fleet:
            return self._demand.plan_zones(
                rule.name,
                rule.engine,
                limits,
                fleets,
                self._list_lacking_zones(rule.name),
            )
        now_ms = self._context.clock.now_ms()
        wanted = count_wanted_targets(
            limits,
            len(self._zones),
            start_count,
            self._context.demand.estimate_busy_engines(now_ms),
        )
        is_idle = self._context.demand.is_idle(now_ms)
        return FleetPlan(limits, fleets, wanted, is_idle=is_idle).plan_zones()

    def _count_zone(
        self, rule: ServiceRule, listings: list[Listing], zone: str
    ) -> ZoneFleet:
        closures: Collection[str] = ()
        if rule.engine is not None and self._context.is_large_fleet:
            board = self._context.fleet.boards.get_board(rule.name)
            closures = board.list_closures(self._context.clock.now_ms())
        return ZoneFleet(
            zone=zone,
            steady_count=self._count_expected(
                rule.name, listings, zone, is_cheap=False
            ),
            cheap_count=self._count_expected(
                rule.name, listings, zone, is_cheap=True
            ),
            ready_cheap_count=_count_targets(listings, zone, is_cheap=True),
            serving_count=sum(
                listing.zone == zone and listing.name not in closures
                for listing in listings
            ),
            changing_count=sum(
                listing.zone == zone and listing.name in closures
                for listing in listings
            ),
        )

    def _list_lacking_zones(self, service: str) -> set[str]:
        """Return the zones where the platform has no reclaimable targets."""
        return {
            zone
            for (name, zone, is_cheap), order in self._last_order_by_key.items()
            if name == service and is_cheap and order.is_lacking
        }

    def _count_expected(
        self,
        service: str,
        listings: list[Listing],
        zone: str,
        *,
        is_cheap: bool,
    ) -> int:
        """Return the number of targets that are listed or still booting."""
        present = _count_targets(listings, zone, is_cheap=is_cheap)
        last_order = self._last_order_by_key.get((service, zone, is_cheap))
        now_ms = self._context.clock.now_ms()
        if last_order is not None and now_ms < last_order.listed_by_ms:
            return max(present, last_order.count)
        return present

    async def _order(
        self,
        rule: ServiceRule,
        limits: OrderLimits,
        zone_plan: ZonePlan,
        epoch: int,
        is_cheap: bool,
    ) -> None:
        count = zone_plan.cheap_count if is_cheap else zone_plan.steady_count
        listings = self._context.fleet.directory.list_usable(rule.name)
        present = _count_targets(listings, zone_plan.zone, is_cheap=is_cheap)
        key = (rule.name, zone_plan.zone, is_cheap)
        now_ms = self._context.clock.now_ms()
        last_order = self._last_order_by_key.get(key)
        if last_order is None and present == count:
            return
        if last_order is not None and last_order.count == count:
            if present >= count or now_ms < last_order.retry_ms:
                return
        order = TargetOrder(
            service=rule.name,
            zone=zone_plan.zone,
            count=count,
            is_cheap=is_cheap,
        )
        reply = await self._interface.order_targets(order, epoch)
        logger.bind(
            service=rule.name,
            zone=zone_plan.zone,
            count=count,
            present=present,
            is_cheap=is_cheap,
            epoch=epoch,
            outcome=reply.value,
        ).info('targets ordered')
        listed_ms = now_ms + limits.boot_ms + LISTING_DELAY_MS
        if reply is OrderReply.accepted:
            self._last_order_by_key[key] = _SentOrder(
                count, listed_ms, listed_ms
            )
        else:
            self._last_order_by_key[key] = _SentOrder(
                count,
                0,
                now_ms + UNAVAILABLE_RETRY_MS,
                is_lacking=reply is OrderReply.none_available,
            )


class RoleChangeJob:
    """
    Keeps the roles of engines as the role plan wants them.

    :param context: shared parts of the data path
    :param orders: sends orders to engines
    :param demand: plans the roles of large fleets
    """

    __slots__ = (
        '_change_by_engine',
        '_clock',
        '_closed_by_engine',
        '_context',
        '_demand',
        '_orders',
    )

    def __init__(
        self, context: ServingContext, orders: RoleOrders, demand: EngineDemand
    ) -> None:
        self._context = context
        self._clock: Clock = context.clock
        self._demand = demand
        self._orders = orders
        self._change_by_engine: dict[str, tuple[str, int]] = {}
        # Roles to order at engines that are closed already, and when.
        self._closed_by_engine: dict[str, tuple[str, int]] = {}

    def begin_term(self) -> None:
        """Forget the changes of a term: another holder may have ordered."""
        self._change_by_engine.clear()
        self._closed_by_engine.clear()

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Order the role changes of the plan."""
        deployment = self._context.deployment
        if deployment is None or not self._context.fleet.is_settled:
            return
        now_ms = self._clock.now_ms()
        for rule in deployment.services_by_name.values():
            if rule.engine is None:
                continue
            listings = {
                listing.name: listing
                for listing in self._context.fleet.directory.list_usable(
                    rule.name
                )
            }
            views = [
                EngineView(
                    name=listing.name,
                    zone=listing.zone,
                    role=listing.role,
                    is_cheap=listing.is_cheap,
                    is_changing=self._is_changing(listing, now_ms),
                )
                for listing in listings.values()
            ]
            for change in self._plan(rule, views, listings, now_ms):
                await self._order(
                    listings[change.engine], change.role, rule, may_act, epoch
                )

    def _plan(
        self,
        rule: ServiceRule,
        views: list[EngineView],
        listings: dict[str, Listing],
        now_ms: int,
    ) -> list[RoleChange]:
        """Return the role changes to order now."""
        if not self._context.is_large_fleet:
            is_idle = self._context.demand.is_idle(now_ms)
            return plan_roles(views, is_idle=is_idle)
        planned = self._demand.plan_roles(rule.name, views)
        if self._demand.is_idle(rule.name):
            return planned
        for change in planned:
            self._close_first(listings[change.engine], change.role)
        return self._take_closed(listings, now_ms)

    def _close_first(self, listing: Listing, role: str) -> None:
        """Close an engine to new work, before its role is ordered."""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + UNORDERED_CLOSURE_MS
        self._context.fleet.boards.get_board(listing.service).close_role(
            listing.name, listing.role, until_ms
        )
        self._closed_by_engine[listing.name] = (role, now_ms + CLOSED_BEFORE_MS)
        self._change_by_engine[listing.name] = (role, until_ms)
        self._context.meters.capacity.count_role_closure()
        logger.bind(target=listing.name, role=role, before=listing.role).info(
            'engine closed before a change of its role'
        )

    def _take_closed(
        self, listings: dict[str, Listing], now_ms: int
    ) -> list[RoleChange]:
        """Return the changes at engines that have been closed long enough."""
        due = {
            name: role
            for name, (role, due_ms) in self._closed_by_engine.items()
            if name in listings and due_ms <= now_ms
        }
        for closed in due:
            self._closed_by_engine.pop(closed)
        return [
            RoleChange(engine, role)
            for engine, role in due.items()
            if listings[engine].role != role
        ]

    def _is_changing(self, listing: Listing, now_ms: int) -> bool:
        role, retry_ms = self._change_by_engine.get(listing.name, ('', 0))
        if role == listing.role:
            self._change_by_engine.pop(listing.name, None)
            return False
        return now_ms < retry_ms

    async def _order(
        self,
        listing: Listing,
        role: str,
        rule: ServiceRule,
        may_act: Callable[[], bool],
        epoch: int,
    ) -> None:
        """Order a role of one engine, and close it to new work meanwhile."""
        try:
            accepted = await self._orders.fetch_accepted_count(listing)
        except TargetError as error:
            logger.bind(target=listing.name).info(
                'role not ordered, as reading the engine failed: {0}',
                error,
            )
            return
        if not may_act():
            return
        change_ms = rule.engine.role_change_ms if rule.engine else 0
        now_ms = self._clock.now_ms()
        self._change_by_engine[listing.name] = (role, now_ms + LATE_EFFECT_MS)
        reply = await self._orders.order_role(listing, role, epoch, accepted)
        logger.bind(
            target=listing.name,
            role=role,
            before=listing.role,
            epoch=epoch,
            seq=accepted,
            outcome=reply.value,
        ).info('role ordered')
        if reply is OrderReply.accepted:
            closed_ms = now_ms + change_ms + ENGINE_DRAIN_MS
            self._context.fleet.boards.get_board(rule.name).close_role(
                listing.name, listing.role, closed_ms
            )
            self._change_by_engine[listing.name] = (role, closed_ms)


def _count_targets(
    listings: list[Listing], zone: str, *, is_cheap: bool
) -> int:
    return sum(
        listing.zone == zone and listing.is_cheap == is_cheap
        for listing in listings
    )
