"""Tests of planning while holding the lease of a zone."""

import msgspec
import pytest

from cicadahoist.clock import Clock
from cicadahoist.control.expected_changes import EXPECTED_CHANGE_TTL_MS
from cicadahoist.control.fleet_reader import UNREACHABLE_BACKOFF_MS, FleetReader
from cicadahoist.control.planner import PLAN_PERIOD_MS, Planner
from cicadahoist.control.targets import Targets
from cicadahoist.errors import NotSentError
from cicadahoist.messages import PoolWork
from cicadahoist.outside.engine import EngineLoad
from cicadahoist.outside.tablestore import TableStore
from cicadahoist.policy.fleet import Role, TargetPhase
from cicadahoist.policy.roles import RoleChange
from cicadahoist.standin.memory import MemoryStore
from cicadahoist.standin.objects import ObjectModel
from cicadahoist.table import Route, Shard, Table, Target
from tests.test_control.entries import Entries
from tests.test_mesh.cluster import run

LOAD = EngineLoad(
    age_ms=0,
    role='mixed',
    running=2,
    queued=1,
    prefill_tokens=0,
    decode_tokens=0,
    kv_used=0,
    kv_total=1,
    models=['m'],
    draining=False,
)


class Engines:
    """Engines that all report the same load or are unreachable."""

    is_reachable = True

    async def fetch_load(self, target):
        if not self.is_reachable:
            raise NotSentError('away', remedy='wait')
        return LOAD


class Task:
    is_holder = True


class Duty:
    """Records the requested changes."""

    def __init__(self) -> None:
        self.plans = []

    def list_changing(self):
        return {'e1'}

    def request(self, plan) -> bool:
        self.plans.append((plan.target, plan.kind, plan.argument))
        return True


class Roles:
    """Plans one change and records the views."""

    def __init__(self) -> None:
        self.views = []

    def plan(self, view, now_ms):
        self.views.append(view)
        return [RoleChange(target='e0', role=Role.decode)]


class Planning:
    """A planner with two engines in its zone and one in another."""

    def __init__(self) -> None:
        self.clock = Clock.manual()
        self.entries = Entries(self.clock, ['a0'])
        self.engines = Engines()
        self.task = Task()
        self.duty = Duty()
        self.roles = Roles()
        store = MemoryStore(ObjectModel(), self.clock)
        targets = Targets(TableStore(store))
        targets.table = Table(
            1,
            [
                Shard(
                    targets=[
                        _target('e0', 'a'),
                        _target('e1', 'a'),
                        _target('f', 'b'),
                    ],
                    routes=[
                        Route(name='m', pool='p'),
                        Route(name='new', pool='p'),
                    ],
                )
            ],
        )
        self.reader = FleetReader(
            self.engines, targets, self.entries.link, self.clock, 'a'
        )
        self.planner = Planner(
            self.task, self.duty, self.reader, self.roles, self.clock
        )
        run(self.planner.start())

    def work(self, name: str, zone: str, prompt: float, output: float) -> None:
        info = msgspec.structs.replace(
            self.entries.by_name['a0'], name=name, zone=zone
        )
        message = PoolWork(by_pool={'p': (prompt, output)})
        self.reader._on_work(info, message)


def _target(name: str, zone: str) -> Target:
    return Target(name=name, pool='p', url=f'http://{name}', zone=zone)


@pytest.fixture
def planning() -> Planning:
    return Planning()


def test_changes_are_requested_while_the_lease_is_held(planning):
    planning.clock.advance(PLAN_PERIOD_MS)
    assert ('e0', 'role', 'decode') in planning.duty.plans


def test_no_change_is_requested_without_the_lease(planning):
    planning.task.is_holder = False
    planning.clock.advance(PLAN_PERIOD_MS)
    assert planning.duty.plans == []
    assert planning.roles.views == []


def test_view_has_the_engines_and_the_work_of_the_zone(planning):
    planning.clock.advance(PLAN_PERIOD_MS / 2)
    planning.work('a0', 'a', 2, 1)
    planning.work('a1', 'a', 3, 1)
    planning.work('b0', 'b', 100, 100)
    planning.clock.advance(PLAN_PERIOD_MS / 2)
    view = planning.roles.views[0]
    assert [(each.name, each.phase) for each in view.targets] == [
        ('e0', TargetPhase.ready),
        ('e1', TargetPhase.changing),
    ]
    demand = view.demands[0]
    assert (demand.prefill_per_ms, demand.decode_per_ms) == (5, 2)


def test_outdated_work_reports_are_ignored(planning):
    planning.work('a0', 'a', 2, 1)
    for _ in range(4):
        planning.clock.advance(PLAN_PERIOD_MS)
    assert planning.roles.views[0].demands
    assert not planning.roles.views[-1].demands


def test_model_that_no_engine_has_loaded_is_loaded(planning):
    planning.clock.advance(PLAN_PERIOD_MS)
    assert ('e0', 'model', 'new') in planning.duty.plans


def test_requested_change_is_not_repeated_while_reports_lag(planning):
    for _ in range(4):
        planning.clock.advance(PLAN_PERIOD_MS)
    assert planning.duty.plans.count(('e0', 'model', 'new')) == 1
    shown = planning.roles.views[-1].targets[0]
    assert shown.role is Role.decode
    assert shown.models == {'m', 'new'}


def test_change_that_did_not_happen_is_requested_again(planning):
    for _ in range(2 + EXPECTED_CHANGE_TTL_MS // PLAN_PERIOD_MS):
        planning.clock.advance(PLAN_PERIOD_MS)
    assert planning.duty.plans.count(('e0', 'model', 'new')) == 2


def test_process_backs_off_while_its_engines_are_unreachable(planning):
    planning.engines.is_reachable = False
    for _ in range(2):
        planning.clock.advance(PLAN_PERIOD_MS)
    assert planning.reader.is_reachable()
    planning.clock.advance(PLAN_PERIOD_MS)
    assert not planning.reader.is_reachable()
    planning.task.is_holder = False
    planning.clock.advance(UNREACHABLE_BACKOFF_MS)
    assert planning.reader.is_reachable()
