"""Orders of engines and roles in large fleets, by the load in flight."""

import pytest
from msgspec import structs

from cicadahoist.clock import Clock
from cicadahoist.metrics import ROLE_CLOSURES
from cicadahoist.policy.peer_loads import InFlightLoad, PeerLoad
from cicadahoist.rules import (
    CallerLimits,
    Deployment,
    EngineSizes,
    OrderLimits,
    ServiceRule,
)
from cicadahoist.serving.duty_calls import OrderReply
from cicadahoist.serving.engine_demand import EngineDemand
from cicadahoist.serving.fleet_orders import RoleChangeJob, TargetScalingJob
from cicadahoist.serving.peers import Peers
from tests.coroutines import result_of
from tests.test_serving.world import World, prompt_headers, target

HANDLE_BODY = b'{"kv-handle":"h7","tokens":9000,"version":1}'
ZONES = ('a', 'b', 'c')
LIMITS = OrderLimits(
    min_targets=1, max_targets=20, boot_ms=4000, cheap_price_ratio=0.15
)
RULE = ServiceRule(
    name='llm',
    engine=EngineSizes(slots=6, role_change_ms=3000),
    orders=LIMITS,
)


class Platform:
    """Accepts orders of targets, and lists the targets after their boot."""

    def __init__(self, world) -> None:
        self._world = world
        self.orders = []
        self.lacking_zones = set()

    async def order_targets(self, order, epoch):
        self.orders.append(order)
        if order.is_cheap and order.zone in self.lacking_zones:
            return OrderReply.none_available
        self._world.clock.call_later(LIMITS.boot_ms, self._carry_out, order)
        return OrderReply.accepted

    def _carry_out(self, order):
        directory = self._world.context.fleet.directory
        listed = list_kind(self._world, order.zone, is_cheap=order.is_cheap)
        for listing in listed[order.count :]:
            directory.remove(listing.name)
        for number in range(len(listed), order.count):
            name = f'{order.zone}-{order.is_cheap:d}-{number}'
            directory.put(engine(name, order.zone, is_cheap=order.is_cheap))


class Roles:
    """Changes roles, or refuses to if it is told so."""

    def __init__(self, world) -> None:
        self._world = world
        self.ordered_names = set()
        self.reply = OrderReply.accepted

    async def fetch_accepted_count(self, engine):
        return 0

    async def order_role(self, engine, role, epoch, accepted):
        self.ordered_names.add(engine.name)
        if self.reply is OrderReply.accepted:
            self._world.clock.call_later(
                RULE.engine.role_change_ms,
                self._world.context.fleet.directory.put,
                structs.replace(engine, role=role),
            )
        return self.reply


class Duties:
    """A large fleet whose duties this instance holds."""

    def __init__(self, instance_count=20) -> None:
        self.world = World(Clock.manual())
        self.context = self.world.context
        self.platform = Platform(self.world)
        self.context.set_instance_count(instance_count)
        self.context.apply_deployment(
            Deployment.from_routes(2, [], [RULE], CallerLimits(), {})
        )
        for number in range(9):
            zone = ZONES[number % 3]
            self.world.add(engine(f'{zone}-0-{number}', zone))
        self.context.fleet.is_settled = True
        self.heard_count = instance_count - 1
        self.peers = Peers('i')
        self.demand = EngineDemand(self.context, ZONES, self.peers)
        self._scaling = TargetScalingJob(
            self.context, self.platform, ZONES, self.demand
        )
        self.roles = Roles(self.world)
        self._role_changes = RoleChangeJob(
            self.context, self.roles, self.demand
        )

    def run(self, took_ms, load=None):
        """Run the jobs while a peer has a load at each of nine engines."""
        fleet = self.context.fleet
        for step in range(took_ms // 100):
            now_ms = self.world.clock.now_ms()
            names = [listing.name for listing in fleet.directory.list_all()]
            loads = dict.fromkeys(names[-9:], load)
            fleet.boards.get_board('llm').peer_loads.apply(
                'peer', PeerLoad(loads if load else {}, now_ms)
            )
            for number in range(self.heard_count):
                self.peers.mark_alive(f'i{number}', now_ms)
            result_of(self.demand.run(0, lambda: True, 1))
            if step % 5 == 0:
                result_of(self._scaling.run(0, lambda: True, 1))
                result_of(self._role_changes.run(0, lambda: True, 1))
            self.world.clock.advance(100)

    def count(self, *, is_cheap):
        return sum(
            len(list_kind(self.world, zone, is_cheap=is_cheap))
            for zone in ZONES
        )


def engine(name, zone, **fields):
    return target(name, 'llm', 'decode', zone, **fields)


def list_kind(world, zone, *, is_cheap):
    return [
        listing
        for listing in world.context.fleet.directory.list_usable('llm')
        if listing.zone == zone and listing.is_cheap == is_cheap
    ]


BUSY = InFlightLoad(prefill_tokens=3000, run_count=4)


@pytest.fixture
def duties():
    return Duties()


def test_reclaimable_engines_replace_those_found_and_no_more(duties):
    duties.run(20_000, InFlightLoad(run_count=1))
    assert duties.count(is_cheap=False) == 0
    assert 9 <= duties.count(is_cheap=True) < 18


def test_steady_engines_are_released_only_once_others_serve(duties):
    duties.run(3900, BUSY)
    assert duties.count(is_cheap=False) == 9


def test_load_seen_at_peers_raises_the_number(duties):
    duties.run(20_000, BUSY)
    assert duties.count(is_cheap=True) > 18


def test_a_new_holder_keeps_the_fleet_until_it_has_measured(duties):
    duties.run(10_000, BUSY)
    count = duties.count(is_cheap=True)
    duties.demand.begin_term()
    duties.run(1900)
    assert duties.count(is_cheap=True) >= count


def test_small_fleets_keep_their_plan():
    """Guards against the new plan where it was not asked for."""
    duties = Duties(instance_count=9)
    duties.run(6000)
    ordered = {order.zone: order for order in duties.platform.orders}
    assert duties.demand.is_idle('llm')
    assert sum(order.count for order in ordered.values()) >= 17


def test_a_zone_without_reclaimable_engines_is_made_up_for(duties):
    duties.platform.lacking_zones.add('a')
    duties.run(20_000, InFlightLoad(run_count=1))
    assert duties.count(is_cheap=True) >= 9
    assert duties.count(is_cheap=False) <= LIMITS.min_targets


def test_a_holder_cut_off_from_most_instances_releases_no_engines(duties):
    """Guards against a fleet reduced to the load of the few that are heard."""
    duties.run(20_000, BUSY)
    count = duties.count(is_cheap=True)
    duties.heard_count = 5
    duties.run(60_000)
    assert duties.count(is_cheap=True) == count


def list_closed(duties):
    board = duties.context.fleet.boards.get_board('llm')
    return set(board.list_closures(duties.world.clock.now_ms()))


def run_until_closed(duties):
    """Run until the first engines are closed before a change of their role."""
    for _ in range(100):
        duties.run(500, BUSY)
        if list_closed(duties):
            return list_closed(duties)
    raise AssertionError('no engine was closed')


def test_engines_are_closed_before_their_role_is_ordered(duties):
    """Guards against work that peers send to an engine during its change."""
    closed = run_until_closed(duties)
    assert not closed & duties.roles.ordered_names
    duties.run(1000, BUSY)
    assert closed <= duties.roles.ordered_names
    assert closed <= list_closed(duties)
    assert duties.world.count(ROLE_CLOSURES) >= len(closed)


def test_an_engine_that_refuses_its_role_opens_again(duties):
    duties.roles.reply = OrderReply.refused
    closed = run_until_closed(duties)
    duties.world.clock.advance(2600)
    assert not closed & list_closed(duties)


@pytest.mark.parametrize('closed', ['d1', 'd2'])
def test_a_staged_prompt_is_not_sent_to_an_engine_that_is_closed(closed):
    """Guards against a prompt that waits for the end of a change of role."""
    world = World()
    world.context.set_instance_count(20)
    world.add(
        target('p1', 'llm', 'prefill'),
        target('d1', 'llm', 'decode'),
        target('d2', 'llm', 'decode'),
    )
    world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    board = world.context.fleet.boards.get_board('llm')
    board.close_role(closed, 'decode', 3000)
    world.sent[0].answer(body=HANDLE_BODY)
    assert world.sent[1].target not in {closed, 'p1'}


def test_a_staged_prompt_is_not_sent_to_an_engine_full_of_streams():
    """Guards against a prompt that waits for the end of a stream of seconds."""
    world = World()
    world.context.set_instance_count(20)
    names = [f'd{number}' for number in range(10)]
    world.add(
        target('p1', 'llm', 'prefill'),
        *(target(name, 'llm', 'decode') for name in names),
    )
    board = world.context.fleet.boards.get_board('llm')
    for name in names[1:]:
        board.get(name).own_load.run_count = board.get(name).slots
    for _ in range(10):
        world.send_request(b'/check/x', *prompt_headers(), patience=2000)
        world.sent[-1].answer(body=HANDLE_BODY)
        assert world.sent[-1].target == names[0]
