"""Orders of engines and roles in large fleets, by the load in flight."""

import pytest
from msgspec import structs

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
RULE = ServiceRule(
    name='llm',
    engine=EngineSizes(slots=6, role_change_ms=3000),
    orders=OrderLimits(
        min_targets=1, max_targets=20, boot_ms=4000, cheap_price_ratio=0.15
    ),
)
QUIET = InFlightLoad(run_count=1)
BUSY = InFlightLoad(prefill_tokens=3000, run_count=4)


class Platform:
    """Carries out orders of targets and roles after their time."""

    def __init__(self, world) -> None:
        self._call_later = world.clock.call_later
        self._directory = world.context.fleet.directory
        self.target_orders = []
        self.changed_names = set()

    def list_kind(self, zone, *, is_cheap):
        return [
            listing
            for listing in self._directory.list_usable('llm')
            if (listing.zone, listing.is_cheap) == (zone, is_cheap)
        ]

    async def order_targets(self, order, epoch):
        self.target_orders.append(order)
        self._call_later(RULE.orders.boot_ms, self._carry_out, order)
        return OrderReply.accepted

    def _carry_out(self, order):
        listed = self.list_kind(order.zone, is_cheap=order.is_cheap)
        for listing in listed[order.count :]:
            self._directory.remove(listing.name)
        for number in range(len(listed), order.count):
            name = f'{order.zone}-{order.is_cheap:d}-{number}'
            self._directory.put(
                engine(name, order.zone, is_cheap=order.is_cheap)
            )

    async def fetch_accepted_count(self, listing):
        return 0

    async def order_role(self, listing, role, epoch, accepted):
        self.changed_names.add(listing.name)
        changed = structs.replace(listing, role=role)
        self._call_later(3000, self._directory.put, changed)
        return OrderReply.accepted


class Duties:
    """A fleet with nine engines whose duties this instance holds."""

    def __init__(self, instance_count=20) -> None:
        self.world = World()
        context = self.world.context
        context.set_instance_count(instance_count)
        context.apply_deployment(
            Deployment.from_routes(2, [], [RULE], CallerLimits(), {})
        )
        for number in range(9):
            zone = ZONES[number % 3]
            self.world.add(engine(f'{zone}-0-{number}', zone))
        context.fleet.is_settled = True
        self.board = context.fleet.boards.get_board('llm')
        self.platform = Platform(self.world)
        self.heard_count = instance_count - 1
        self._peers = Peers('i')
        demand = EngineDemand(context, ZONES, self._peers)
        self._jobs = [
            demand,
            TargetScalingJob(context, self.platform, ZONES, demand),
            RoleChangeJob(context, self.platform, demand),
        ]

    def run(self, took_ms, load=None):
        """Run the jobs while a peer has a load at each of nine engines."""
        for step in range(took_ms // 100):
            now_ms = self.world.clock.now_ms()
            listed = self.world.context.fleet.directory.list_all()
            names = [listing.name for listing in listed]
            loads = dict.fromkeys(names[-9:], load) if load else {}
            self.board.peer_loads.apply('peer', PeerLoad(loads, now_ms))
            for number in range(self.heard_count):
                self._peers.mark_alive(f'i{number}', now_ms)
            for job in self._jobs if step % 5 == 0 else self._jobs[:1]:
                result_of(job.run(0, lambda: True, 1))
            self.world.clock.advance(100)

    def count(self, *, is_cheap):
        return sum(
            len(self.platform.list_kind(zone, is_cheap=is_cheap))
            for zone in ZONES
        )

    def list_closed(self):
        return set(self.board.list_closures(self.world.clock.now_ms()))


def engine(name, zone, **fields):
    return target(name, 'llm', 'decode', zone, **fields)


@pytest.fixture
def duties():
    return Duties()


def test_reclaimable_engines_replace_those_found_and_no_more(duties):
    duties.run(20_000, QUIET)
    assert duties.count(is_cheap=False) == 0
    assert 9 <= duties.count(is_cheap=True) < 18


def test_steady_engines_are_released_only_once_others_serve(duties):
    duties.run(3900, BUSY)
    assert duties.count(is_cheap=False) == 9


def test_small_fleets_keep_their_plan():
    """Guards against the new plan where it was not asked for."""
    duties = Duties(instance_count=9)
    duties.run(6000)
    count_by_kind = {
        (order.zone, order.is_cheap): order.count
        for order in duties.platform.target_orders
    }
    assert sum(count_by_kind.values()) == 18


def test_a_holder_cut_off_from_most_instances_releases_no_engines(duties):
    """Guards against a fleet reduced to the load of the few that are heard."""
    duties.run(20_000, BUSY)
    count = duties.count(is_cheap=True)
    duties.heard_count = 5
    duties.run(60_000)
    assert duties.count(is_cheap=True) == count


def test_engines_are_closed_before_their_role_is_ordered(duties):
    """Guards against work that peers send to an engine during its change."""
    while not duties.list_closed():
        duties.run(500, BUSY)
    closed = duties.list_closed()
    assert not closed & duties.platform.changed_names
    duties.run(1000, BUSY)
    assert closed <= duties.platform.changed_names
    assert closed <= duties.list_closed()
    assert duties.world.count(ROLE_CLOSURES) >= len(closed)


def create_large_world(*decode_names):
    world = World()
    world.context.set_instance_count(20)
    world.add(
        target('p1', 'llm', 'prefill'),
        *(target(name, 'llm', 'decode') for name in decode_names),
    )
    return world, world.context.fleet.boards.get_board('llm')


def test_a_staged_prompt_is_not_sent_to_an_engine_that_is_closed():
    """Guards against a prompt that waits for the end of a change of role."""
    world, board = create_large_world('d1', 'd2')
    board.get('d2').own_load.kv_tokens = 100_000
    world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    board.close_role('d1', 'decode', 3000)
    world.sent[0].answer(body=HANDLE_BODY)
    assert world.sent[1].target == 'd2'


def test_a_staged_prompt_is_not_sent_to_an_engine_full_of_streams():
    """Guards against a prompt that waits for the end of a stream of seconds."""
    names = [f'd{number}' for number in range(10)]
    world, board = create_large_world(*names)
    for name in names[1:]:
        board.get(name).own_load.run_count = board.get(name).slots
    for _ in range(10):
        world.send_request(b'/check/x', *prompt_headers(), patience=2000)
        world.sent[-1].answer(body=HANDLE_BODY)
        assert world.sent[-1].target == names[0]
