"""Two processes stand for a lease and give orders to targets."""

from typing import Any

import msgspec

from cicadahoist.protocol.actions import (
    ArmTimer,
    DisarmTimer,
    LeaseWon,
    ReadObject,
    ReadTarget,
    SendOrder,
    WriteObject,
)
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.events import (
    Leave,
    ObjectRead,
    ReadFailed,
    TargetsReachable,
    TargetsUnreachable,
    Tick,
    WriteConfirmed,
    WriteConflict,
    WriteUnknown,
)
from cicadahoist.protocol.lease import LEASE_KIT, LeaseKeeper
from cicadahoist.protocol.order_events import (
    OrderDone,
    OrderRefused,
    OrderUnanswered,
    PlanOrder,
    TargetGone,
    TargetRead,
)
from cicadahoist.protocol.orders import ORDER_KIT, OrderBook
from cicadahoist.protocol.records import (
    decode_record,
    encode_record,
    lease_name,
)
from cicadahoist.protocol.timing import LeaseTiming
from proof.scenario import SCENARIOS, TICK_MS, Scenario
from proof.stimuli import STIMULI
from proof.store import CONFLICT
from proof.targets import FakeTarget
from proof.world import RESTART_MS, Node, World

TIMING = LeaseTiming(term_ms=1500, margin_ms=150, order_bound_ms=500)
PLAN_SHARE = 0.7
ANSWERS = {'done': OrderDone, 'refused': OrderRefused}
LEASE = lease_name('zone-a', 'engines')


class Controller(Node):
    """A control process that drives the real :class:`Authority`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self.reachable = True

    def boot(self) -> None:
        """Build an empty authority and tick it."""
        drawn = iter(range(1, 1_000_000))
        lease = LeaseKeeper(
            LEASE,
            self.incarnation,
            TIMING,
            self.scenario.kit(self, LEASE_KIT),
            lambda: f'{self.incarnation}/{next(drawn)}',
        )
        book = OrderBook(lease, self.scenario.kit(self, ORDER_KIT))
        self.authority = Authority(lease, book)
        self._tick(self.starts)

    def _tick(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self.offer(Tick())
            self._plan()
        self.world.later(TICK_MS, lambda: self._tick(started))

    def _plan(self) -> None:
        if self.world.random.random() < PLAN_SHARE:
            target = self.world.random.choice(list(self.scenario.targets))
            role = self.world.random.choice(['prefill', 'decode', 'mixed'])
            self.offer(PlanOrder(target, 'role', role))

    def offer(self, event: Any) -> None:
        """Pass an event to the authority and carry out its actions."""
        if not self.alive or self.frozen:
            return
        self.carry_out(self.authority.handle(event, self.world.now_ms))

    def execute(self, action: Any) -> None:
        """Carry out one action against the fakes."""
        if isinstance(action, ReadObject):
            self._read(action)
        elif isinstance(action, WriteObject):
            self._write(action)
        elif isinstance(action, ArmTimer):
            self.arm(action.deadline_ms)
        elif isinstance(action, DisarmTimer):
            self.disarm()
        elif isinstance(action, SendOrder):
            self._send(action)
        elif isinstance(action, ReadTarget):
            self._ask(action)
        elif isinstance(action, LeaseWon):
            self.scenario.on_won(action.record)

    def _read(self, action: ReadObject) -> None:
        store = self.scenario.store
        self.call(
            store,
            lambda: store.read(action.name),
            lambda answer: self.offer(ObjectRead(*answer)),
            lambda: self.offer(ReadFailed()),
        )

    def _write(self, action: WriteObject) -> None:
        store = self.scenario.store

        def take(version: int) -> None:
            if version == CONFLICT:
                self.offer(WriteConflict(action.nonce))
            else:
                self.offer(WriteConfirmed(action.nonce, version))

        self.call(
            store,
            lambda: store.write(action.name, action.payload, action.expected),
            take,
            lambda: self.offer(WriteUnknown(action.nonce)),
        )

    def _send(self, action: SendOrder) -> None:
        entry = action.entry
        target = self.scenario.targets[entry.target]

        def take(answer: str) -> None:
            if answer == 'gone':
                self.offer(TargetGone(entry.target))
            else:
                kind = ANSWERS.get(answer, OrderUnanswered)
                self.offer(kind(entry.target, entry.token))

        target.slow_ms = target.delay_ms()
        self.call(
            target,
            lambda: target.order(entry),
            take,
            lambda: self.offer(OrderUnanswered(entry.target, entry.token)),
        )
        target.slow_ms = 0

    def _ask(self, action: ReadTarget) -> None:
        target = self.scenario.targets[action.target]

        def take(answer: tuple) -> None:
            if answer[0] is None:
                self.offer(TargetGone(action.target))
            else:
                shown = answer[0]
                self.offer(TargetRead(action.target, action.token, shown))

        self.call(
            target,
            lambda: (target.shown(action.token),),
            take,
            lambda: None,
        )


@STIMULI.register('leave')
def leave(scenario: Any, node: Node) -> None:
    scenario.world.later(0, lambda: node.offer(Leave()))
    started = node.starts
    scenario.world.later(
        2 * RESTART_MS,
        lambda: node.kill(0) if started == node.starts else None,
    )


@STIMULI.register('targets out of reach')
def lose_targets(scenario: Any, node: Node) -> None:
    scenario.world.later(0, lambda: node.offer(TargetsUnreachable()))
    scenario.world.later(2500, lambda: node.offer(TargetsReachable()))


@STIMULI.register('object touched')
def touch_object(scenario: Any, node: Node) -> None:
    """Write the object by hand, as no process of ours does."""

    def touch() -> None:
        version, payload = scenario.store.read(LEASE)
        record = decode_record(payload)
        touched = msgspec.structs.replace(record, nonce='by hand')
        scenario.store.write(LEASE, encode_record(touched), version)

    scenario.world.later(0, touch)


@SCENARIOS.register('authority')
class AuthorityScenario(Scenario):
    """Leases and orders; checked at the store and at the targets."""

    charts = ('lease', 'order')
    timing = TIMING
    stimuli = tuple(STIMULI.names())

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.nodes = [
            Controller(self.world, name, self) for name in ('c1', 'c2')
        ]
        self.targets = {
            name: FakeTarget(
                name, self.store, LEASE, fencing, TIMING.order_bound_ms
            )
            for name, fencing in (('e1', False), ('e2', True), ('e3', False))
        }
        self._holders: dict[int, str] = {}
        self.store.listeners.append(self._check_write)

    def on_won(self, record: Any) -> None:
        """Check that an epoch is won once."""
        holder = self._holders.setdefault(record.epoch, record.holder)
        if holder != record.holder:
            self.world.violate(f'two holders of epoch {record.epoch}')

    def race(self, node: Node) -> None:
        """Two operators order different roles of one target everywhere."""
        for contender in self.nodes:
            for role in ('prefill', 'decode'):
                event = PlanOrder('e1', 'role', role)
                self.world.later(
                    0, lambda to=contender, what=event: to.offer(what)
                )

    def reclaim(self, node: Node) -> None:
        """Take the first target away, and another one's name stays."""
        self.targets['e1'].gone = True

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about something that is no fault of the matrix."""
        STIMULI.get(name)(self, node)

    def check_progress(self, since_ms: int) -> None:
        """Targets that exist must get orders once all has healed."""
        for name, target in self.targets.items():
            seen = [at for at, _ in target.seen if at >= since_ms]
            if not target.gone and not seen:
                self.world.violate(f'{name} got no order since {since_ms} ms')

    def _check_write(self, name: str, before: bytes, after: bytes) -> None:
        old, new = decode_record(before), decode_record(after)
        if new.epoch < old.epoch:
            self.world.violate(f'epoch fell to {new.epoch}')
        if new.epoch == old.epoch and new.holder != old.holder:
            self.world.violate(f'epoch {new.epoch} changed hands')
