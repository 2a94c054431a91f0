"""Control processes of a zone with a platform that sells targets."""

from cicadahoist.clock import Clock
from cicadahoist.control.fleet_reader import FleetReader
from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.control.target_demand import TargetDemand
from cicadahoist.control.target_duty import TargetDuty
from cicadahoist.control.target_market import MarketReader
from cicadahoist.control.target_orders import TargetSender
from cicadahoist.control.target_planner import TargetPlanner
from cicadahoist.control.target_rounds import TargetRounds
from cicadahoist.control.target_rows import TargetRows
from cicadahoist.control.targets import Targets
from cicadahoist.control.term_deadlines import TermDeadlines
from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.mesh.local_messages import Received, encode_local
from cicadahoist.messages import PoolWork
from cicadahoist.outside.engine import EngineLoad
from cicadahoist.outside.tablestore import RowChange, TableStore
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.orders import OrderBook
from cicadahoist.standin.memory import MemoryStore
from cicadahoist.standin.objects import ObjectModel
from cicadahoist.standin.platform_targets import Spare, TargetMarket
from cicadahoist.table import Target
from tests.test_control.entries import Entries
from tests.test_control.holders import STEP_MS, TIMING, KernelTimer
from tests.test_mesh.cluster import run

ARRIVAL_MS = 20_000
BATCH_RATE = 10
SPARES = 6


class Platform:
    """The market that all processes call; records their orders."""

    def __init__(self, clock: Clock, engines: 'Engines') -> None:
        spares = [
            Spare(
                name=f'cheap-{number}',
                zone='a',
                url=f'http://cheap-{number}',
                price=350,
                reclaimable=True,
            )
            for number in range(SPARES)
        ]
        self.market = TargetMarket(spares, ARRIVAL_MS)
        self.calls = []
        self.work_at_release = []
        self.loses_answers = False
        self.is_cut_off = False
        self.send_ms = 0
        self.read_ms = 0
        self._clock = clock
        self._engines = engines

    async def send(self, order):
        if self.is_cut_off:
            raise NotSentError('cut off', remedy='wait')
        self.calls.append(order)
        if order.kind == 'release':
            self.work_at_release.append(self._engines.running(order.target))
        state = self.market.submit_order(order, self._clock.now_ms())
        if self.send_ms:
            await self._clock.sleep(self.send_ms)
        if self.loses_answers:
            raise LostAfterSendError('lost', remedy='read it back')
        return state

    async def fetch_orders(self, zone):
        states = self.market.list_order_states(zone, self._clock.now_ms())
        await self._pass(self.read_ms)
        return states

    async def fetch_targets(self, zone):
        targets = self.market.list_targets(zone, self._clock.now_ms())
        await self._pass(self.read_ms)
        return targets

    def running(self) -> list[str]:
        now_ms = self._clock.now_ms()
        return [each.name for each in self.market.list_targets('a', now_ms)]

    def kinds(self) -> list[str]:
        return [call.kind for call in self.calls]

    def check(self) -> None:
        """Fail if an order is stale, repeated, differing or out of order."""
        counts = self.market.counts
        assert (counts.stale, counts.repeated, counts.differing) == (0, 0, 0)
        epochs = [call.epoch for call in self.calls]
        assert epochs == sorted(epochs)

    async def _pass(self, delay_ms: int) -> None:
        if delay_ms:
            await self._clock.sleep(delay_ms)
        if self.is_cut_off:
            raise NotSentError('cut off', remedy='wait')


class Engines:
    """Loads of all engines, by the name that the platform uses."""

    def __init__(self) -> None:
        self.running_by_name = {}

    def running(self, name: str) -> int:
        return self.running_by_name.get(name, 0)

    async def fetch_load(self, target):
        return EngineLoad(
            age_ms=0,
            role='mixed',
            running=self.running(target.url.removeprefix('http://')),
            queued=0,
            prefill_tokens=0,
            decode_tokens=0,
            kv_used=0,
            kv_total=1,
            models=[],
            draining=False,
        )


class Process:
    """One control process and the link to its entry."""

    def __init__(self, world: 'World', name: str) -> None:
        clock = world.clock
        self.entries = Entries(clock, ['a0', 'a1'])
        self.store = MemoryStore(world.model, clock)
        table_store = TableStore(self.store)
        self.targets = Targets(table_store)
        self.lease = LeaseKeeper('leases/a/targets', name, TIMING)
        authority = Authority(self.lease, OrderBook(self.lease))
        link = self.entries.link
        self.duty = TargetDuty(
            authority,
            TargetSender(world.platform, 'a'),
            world.engines,
            link,
            clock,
            self.targets,
        )
        self.task = LeaseTask(
            authority,
            self.duty,
            self.store,
            clock,
            TermDeadlines(KernelTimer()),
            may_stand=lambda: True,
            may_hold=lambda: True,
        )
        self.duty.set_plan_handler(self.task.handle)
        rows = TargetRows(table_store, self.targets, 'a')
        planner = TargetPlanner(
            self.duty,
            rows,
            FleetReader(world.engines, self.targets, link, clock, 'a'),
            TargetDemand(link, clock, 'a'),
            clock,
            zone='a',
            most_ordered=world.most_ordered,
            read_wall_ms=clock.now_ms,
        )
        self.rounds = TargetRounds(
            self.task,
            self.duty,
            MarketReader(world.platform, 'a'),
            rows,
            planner,
            clock,
        )
        run(self.task.start())
        run(self.rounds.start())

    def kill(self) -> None:
        """End the process without releasing its lease."""
        self.task._timer.cancel()
        self.lease.term_end_ms = 0
        run(self.rounds.stop())

    def receive_work(self, work: PoolWork) -> None:
        self.entries.report()
        sender = self.entries.by_name['a0']
        local = Received(sender=sender, message=work)
        self.entries._pair.send(encode_local(local))


class World:
    """One zone with an engine from the operators' table and batch work."""

    def __init__(self, *, most_ordered: int = 3, seed: int = 0) -> None:
        self.clock = Clock.manual()
        self.model = ObjectModel(seed)
        self.engines = Engines()
        self.platform = Platform(self.clock, self.engines)
        self.most_ordered = most_ordered
        self.batch_rate = 0
        self.table_store = TableStore(MemoryStore(self.model, self.clock))
        own = Target(name='e0', pool='p', url='http://e0', zone='a')
        run(self.table_store.commit([RowChange(row=own)]))
        self.processes = []

    def begin(self, name: str) -> Process:
        process = Process(self, name)
        self.processes.append(process)
        return process

    def advance(self, time_ms: int) -> None:
        for _ in range(0, time_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            work = PoolWork(
                by_pool={'p': (self.batch_rate, 0)},
                urgent_by_pool={'p': (0, 0)},
            )
            for process in self.processes:
                process.receive_work(work)
            self.platform.check()

    def advance_until(self, condition, limit_ms: int) -> None:
        for _ in range(0, limit_ms, STEP_MS):
            if condition():
                return
            self.advance(STEP_MS)
        raise AssertionError('the condition was not met in time')

    def rows(self) -> list[Target]:
        head, _ = run(self.table_store.read_head())
        table = run(self.table_store.load(head))
        return sorted(table.targets_by_name.values(), key=lambda row: row.name)

    def ordered(self) -> list[Target]:
        return [row for row in self.rows() if row.ordered]
