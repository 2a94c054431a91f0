"""Two control processes compete for a lease and send orders to targets."""

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
PLANNED_TICK_SHARE = 0.7
EVENT_CLASS_BY_ANSWER = {'done': OrderDone, 'refused': OrderRefused}
LEASE_NAME = lease_name('zone-a', 'engines')


class Controller(Node):
    """A control process that drives the real :class:`Authority`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self.reachable = True

    def boot(self) -> None:
        """Create an authority without state and tick it."""
        nonce_numbers = iter(range(1, 1_000_000))
        lease = LeaseKeeper(
            LEASE_NAME,
            self.incarnation,
            TIMING,
            self.scenario.bind_kit(self, LEASE_KIT),
            lambda: f'{self.incarnation}/{next(nonce_numbers)}',
        )
        book = OrderBook(lease, self.scenario.bind_kit(self, ORDER_KIT))
        self.authority = Authority(lease, book)
        self._tick(self.start_count)

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self.dispatch(Tick())
            self._plan_order()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _plan_order(self) -> None:
        if self.world.random.random() < PLANNED_TICK_SHARE:
            target = self.world.random.choice(list(self.scenario.targets))
            role = self.world.random.choice(['prefill', 'decode', 'mixed'])
            self.dispatch(PlanOrder(target, 'role', role))

    def dispatch(self, event: Any) -> None:
        """Pass an event to the authority and execute its actions."""
        if not self.is_alive or self.is_frozen:
            return
        self.execute_all(self.authority.handle(event, self.world.now_ms))

    def execute(self, action: Any) -> None:
        """Execute one action against the fakes."""
        if isinstance(action, ReadObject):
            self._read_object(action)
        elif isinstance(action, WriteObject):
            self._write_object(action)
        elif isinstance(action, ArmTimer):
            self.arm_kernel_timer(action.deadline_ms)
        elif isinstance(action, DisarmTimer):
            self.disarm_kernel_timer()
        elif isinstance(action, SendOrder):
            self._send_order(action)
        elif isinstance(action, ReadTarget):
            self._read_target(action)
        elif isinstance(action, LeaseWon):
            self.scenario.on_lease_won(action.record)

    def _read_object(self, action: ReadObject) -> None:
        store = self.scenario.store
        self.call(
            store,
            lambda: store.read(action.name),
            lambda answer: self.dispatch(ObjectRead(*answer)),
            lambda: self.dispatch(ReadFailed()),
        )

    def _write_object(self, action: WriteObject) -> None:
        store = self.scenario.store

        def on_answer(version: int) -> None:
            if version == CONFLICT:
                self.dispatch(WriteConflict(action.nonce))
            else:
                self.dispatch(WriteConfirmed(action.nonce, version))

        self.call(
            store,
            lambda: store.write(action.name, action.payload, action.expected),
            on_answer,
            lambda: self.dispatch(WriteUnknown(action.nonce)),
        )

    def _send_order(self, action: SendOrder) -> None:
        entry = action.entry
        target = self.scenario.targets[entry.target]

        def on_answer(answer: str) -> None:
            if answer == 'gone':
                self.dispatch(TargetGone(entry.target))
            else:
                event_class = EVENT_CLASS_BY_ANSWER.get(answer, OrderUnanswered)
                self.dispatch(event_class(entry.target, entry.token))

        target.extra_latency_ms = target.draw_delay_ms()
        self.call(
            target,
            lambda: target.receive_order(entry),
            on_answer,
            lambda: self.dispatch(OrderUnanswered(entry.target, entry.token)),
        )
        target.extra_latency_ms = 0

    def _read_target(self, action: ReadTarget) -> None:
        target = self.scenario.targets[action.target]

        def on_answer(answer: tuple) -> None:
            if answer[0] is None:
                self.dispatch(TargetGone(action.target))
            else:
                progress = answer[0]
                self.dispatch(TargetRead(action.target, action.token, progress))

        self.call(
            target,
            lambda: (target.read_progress(action.token),),
            on_answer,
            lambda: None,
        )


@STIMULI.register('leave')
def leave(scenario: Any, node: Node) -> None:
    scenario.world.schedule(0, lambda: node.dispatch(Leave()))
    start_number = node.start_count
    scenario.world.schedule(
        2 * RESTART_MS,
        lambda: node.kill(0) if start_number == node.start_count else None,
    )


@STIMULI.register('targets out of reach')
def lose_targets(scenario: Any, node: Node) -> None:
    scenario.world.schedule(0, lambda: node.dispatch(TargetsUnreachable()))
    scenario.world.schedule(2500, lambda: node.dispatch(TargetsReachable()))


@STIMULI.register('object touched')
def touch_object(scenario: Any, node: Node) -> None:
    """Write the lease object from outside the protocol."""

    def touch() -> None:
        version, payload = scenario.store.read(LEASE_NAME)
        record = decode_record(payload)
        touched = msgspec.structs.replace(record, nonce='by hand')
        scenario.store.write(LEASE_NAME, encode_record(touched), version)

    scenario.world.schedule(0, touch)


@SCENARIOS.register('authority')
class AuthorityScenario(Scenario):
    """Leases and orders, checked at the store and at the targets."""

    chart_names = ('lease', 'order')
    timing = TIMING
    stimuli = tuple(STIMULI.names())

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.nodes = [
            Controller(self.world, name, self) for name in ('c1', 'c2')
        ]
        self.targets = {
            name: FakeTarget(
                name, self.store, LEASE_NAME, has_fencing, TIMING.order_bound_ms
            )
            for name, has_fencing in (
                ('e1', False),
                ('e2', True),
                ('e3', False),
            )
        }
        self._holder_by_epoch: dict[int, str] = {}
        self.store.listeners.append(self._check_write)

    def on_lease_won(self, record: Any) -> None:
        """Check that only one holder wins an epoch."""
        holder = self._holder_by_epoch.setdefault(record.epoch, record.holder)
        if holder != record.holder:
            self.world.record_violation(f'two holders of epoch {record.epoch}')

    def race_operators(self, node: Node) -> None:
        """Plan two roles of one target at the same time on all processes."""
        for contender in self.nodes:
            for role in ('prefill', 'decode'):
                event = PlanOrder('e1', 'role', role)
                self.world.schedule(
                    0,
                    lambda node=contender, planned=event: node.dispatch(
                        planned
                    ),
                )

    def reclaim_target(self, node: Node) -> None:
        """Reclaim the target ``e1``; the others stay."""
        self.targets['e1'].is_gone = True

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about an event that is no fault of the matrix."""
        STIMULI.get(name)(self, node)

    def check_progress(self, since_ms: int) -> None:
        """Check that existing targets get orders after the faults healed."""
        for name, target in self.targets.items():
            order_times_ms = [
                time_ms
                for time_ms, _ in target.received_orders
                if time_ms >= since_ms
            ]
            if not target.is_gone and not order_times_ms:
                self.world.record_violation(
                    f'{name} got no order since {since_ms} ms'
                )

    def _check_write(
        self, name: str, old_payload: bytes, new_payload: bytes
    ) -> None:
        old, new = decode_record(old_payload), decode_record(new_payload)
        if new.epoch < old.epoch:
            self.world.record_violation(f'epoch decreased to {new.epoch}')
        if new.epoch == old.epoch and new.holder != old.holder:
            self.world.record_violation(f'epoch {new.epoch} changed its holder')
