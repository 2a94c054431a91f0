"""A control process drains a target that entries send requests to."""

from typing import Any

from cicadahoist.messages import DrainNotice, Heartbeat, InstanceInfo
from cicadahoist.protocol.drain import DRAIN_KIT, Drain
from cicadahoist.protocol.drain_events import (
    AllowChange,
    ChangeCancelled,
    ChangeEnded,
    DrainAcked,
    EntriesChanged,
    LoadRead,
    ReadLoad,
    SendNotice,
)
from cicadahoist.protocol.drain_notices import DrainNotices
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.membership import (
    HeartbeatReceived,
    Membership,
    PeerListed,
    PeerUnlisted,
)
from proof.scenario import SCENARIOS, TICK_MS, Scenario
from proof.world import CALL_TIMEOUT_MS, RESTART_MS, Node, Service, World

PEER_TIMEOUT_MS = 600
UNLIST_LAG_MS = 900
DRAIN_LIMIT_MS = 4000
DRAIN_PAUSE_MS = 500
REQUEST_SHARE = 0.5
REQUEST_MS = (20, 300)
LONG_REQUEST_SHARE = 0.03
LONG_REQUEST_MS = 2600
CHANGE_MS = 300
TARGET = 't1'


class Target(Service):
    """A target that counts its open requests and checks planned changes."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.open_requests = 0
        self.change_times_ms: list[int] = []
        self._changed_until_ms = -1

    def start_request(self, duration_ms: int) -> str:
        """Start a request, which must not arrive during a planned change."""
        if self._world.now_ms < self._changed_until_ms:
            self._world.record_violation(
                'a request arrived during a planned change'
            )
        self.open_requests += 1
        self._world.schedule(duration_ms, self._end_request)
        return 'done'

    def start_change(self) -> str:
        """Start a planned change, which must not cut open requests."""
        if self.open_requests:
            self._world.record_violation(
                f'{self.open_requests} requests cut by a change'
            )
        self.change_times_ms.append(self._world.now_ms)
        self._changed_until_ms = self._world.now_ms + CHANGE_MS
        return 'done'

    def _end_request(self) -> None:
        self.open_requests -= 1


class Entry(Node):
    """An entry that sends requests and obeys drain notices."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario

    @property
    def info(self) -> InstanceInfo:
        """Identity of the running process."""
        return InstanceInfo(
            name=self.name,
            zone='zone-a',
            address='127.0.0.1',
            port=1,
            incarnation=self.incarnation,
        )

    def boot(self) -> None:
        """Start without drain notices, so that a running drain is unknown."""
        self.is_heard_by_control = False
        self.notices = DrainNotices()
        self.open_requests = 0
        self._tick(self.start_count)

    def receive_batch(self, batch: list[Any]) -> None:
        """Apply a batch of messages from the control process."""
        for message in batch:
            if isinstance(message, Heartbeat):
                heard_incarnation = message.heard.get(self.name)
                self.is_heard_by_control = heard_incarnation == self.incarnation
            elif isinstance(message, DrainNotice):
                self.notices.apply(message)

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self._send_heartbeat()
            is_drained = self.notices.is_drained(TARGET)
            if self.is_heard_by_control and not is_drained:
                if self.world.random.random() < REQUEST_SHARE:
                    self._send_request()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _send_heartbeat(self) -> None:
        heartbeat = Heartbeat(heard={}, revision=1, in_force_ms=0)
        control = self.scenario.control
        event = HeartbeatReceived(self.info, heartbeat)
        self.scenario.send(
            self, control, lambda: control.handle_membership_event(event)
        )
        open_by_target = {TARGET: self.open_requests}
        for ack in self.notices.make_acks(
            self.name, self.incarnation, open_by_target
        ):
            acked = DrainAcked(ack)
            self.scenario.send(
                self, control, lambda event=acked: control.dispatch(event)
            )

    def _send_request(self) -> None:
        self.open_requests += 1
        random = self.world.random
        is_long = random.random() < LONG_REQUEST_SHARE
        self.execute_all(
            [LONG_REQUEST_MS if is_long else random.randint(*REQUEST_MS)]
        )

    def execute(self, action: Any) -> None:
        """Send a request that runs for ``action`` ms; count it while open."""
        target = self.scenario.target
        start_number = self.start_count

        def end() -> None:
            if start_number == self.start_count:
                self.open_requests -= 1

        self.call(
            target,
            lambda: target.start_request(action),
            lambda _: self.world.schedule(action, lambda: self.deliver(end)),
            end,
        )


class ControlProcess(Node):
    """A control process that drives the real :class:`Drain`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario

    def boot(self) -> None:
        """Start without members and without a drain."""
        own = InstanceInfo(
            name=self.name,
            zone='zone-a',
            address='127.0.0.1',
            port=1,
            incarnation=self.incarnation,
        )
        self.membership = Membership(own, PEER_TIMEOUT_MS)
        self.drain: Drain | None = None
        self._drain_count = 0
        self._next_drain_ms = self.world.now_ms + RESTART_MS
        ended = DrainNotice(
            target=TARGET, order=f'{self.start_count}.0', active=False
        )
        self._withdrawn_notices = [ended]
        for entry in self.scenario.entries:
            self.membership.handle(PeerListed(entry.info), self.world.now_ms)
        self._tick(self.start_count)

    def handle_membership_event(self, event: Any) -> None:
        """Update the membership, and pass changed entries to the drain."""
        old_entries = self._get_incarnation_by_entry()
        self.membership.handle(event, self.world.now_ms)
        if self._get_incarnation_by_entry() != old_entries:
            self.dispatch(EntriesChanged(self._get_incarnation_by_entry()))

    def dispatch(self, event: Any) -> None:
        """Pass an event to the drain and execute its actions."""
        if self.drain is not None:
            self.execute_all(self.drain.handle(event, self.world.now_ms))

    def execute(self, action: Any) -> None:
        """Execute one action against the fakes."""
        target = self.scenario.target
        if isinstance(action, SendNotice):
            self._send_notice(action.notice)
        elif isinstance(action, ReadLoad):
            self.call(
                target,
                lambda: target.open_requests,
                lambda count: self.dispatch(
                    LoadRead(action.requested_ms, count)
                ),
                lambda: None,
            )
        elif isinstance(action, AllowChange):
            self.call(
                target,
                target.start_change,
                self._on_change_ended,
                self._await_change_end,
            )

    def _on_change_ended(self, answer: str) -> None:
        self.world.schedule(
            CHANGE_MS,
            lambda: self.deliver(lambda: self.dispatch(ChangeEnded())),
        )

    def _await_change_end(self) -> None:
        """Read the target until it answers, after a change without answer."""
        target = self.scenario.target
        retry = lambda: self.world.schedule(  # noqa: E731
            CALL_TIMEOUT_MS, lambda: self.deliver(self._await_change_end)
        )
        self.call(target, lambda: 'read', self._on_change_ended, retry)

    def _get_incarnation_by_entry(self) -> dict[str, str]:
        return {
            info.name: info.incarnation for info in self.membership.not_gone()
        }

    def _send_notice(self, notice: DrainNotice) -> None:
        if not notice.active:
            self._withdrawn_notices.append(notice)
        for entry in self.scenario.entries:
            self.scenario.send(
                self,
                entry,
                lambda receiver=entry: receiver.receive_batch([notice]),
            )

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self.handle_membership_event(Tick())
            self.dispatch(Tick())
            self._send_heartbeats()
            self._start_drain()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(
            heard=self.membership.heard_incarnations(),
            revision=1,
            in_force_ms=0,
        )
        batch: list[Any] = [*self._withdrawn_notices[-2:]]
        notice = self.drain and self.drain.active_notice()
        if notice:
            batch.append(notice)
        batch.append(heartbeat)
        for entry in self.scenario.entries:
            self.scenario.send(
                self,
                entry,
                lambda receiver=entry: receiver.receive_batch(batch),
            )

    def _start_drain(self) -> None:
        now_ms = self.world.now_ms
        if self.drain is not None and self.drain.state in {
            'ended',
            'postponed',
        }:
            self.drain = None
            self._next_drain_ms = now_ms + DRAIN_PAUSE_MS
        if self.drain is None and now_ms >= self._next_drain_ms:
            self._drain_count += 1
            self.drain = Drain(
                TARGET,
                f'{self.start_count}.{self._drain_count}',
                self._get_incarnation_by_entry(),
                now_ms + DRAIN_LIMIT_MS,
                self.scenario.bind_kit(self, DRAIN_KIT),
            )


@SCENARIOS.register('drain')
class DrainScenario(Scenario):
    """Drains, checked at the target."""

    chart_names = ('drain',)
    stimuli = ('entry killed', 'change not wanted', 'target stuck')
    reason_by_impossible_fault = {
        'store down': 'no store call is made',
        'store slow': 'no store call is made',
    }

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.target = Target(self.world)
        self.control = ControlProcess(self.world, 'c1', self)
        self.entries = [
            Entry(self.world, name, self) for name in ('e1', 'e2', 'e3')
        ]
        self.nodes = [*self.entries, self.control]
        self._dead_since_ms_by_entry: dict[str, int] = {}
        self.world.schedule(0, self._update_membership)

    def send(self, sender: Node, receiver: Node, on_arrival: Any) -> None:
        """Deliver a message, unless a link is cut."""
        if sender.is_outbound_cut:
            return

        def arrive() -> None:
            if not receiver.is_inbound_cut:
                receiver.deliver(on_arrival)

        self.world.schedule(self.world.draw_latency_ms(), arrive)

    def choose_victim(self, node: Node) -> Node:
        """Return an entry for even seeds, otherwise the given process."""
        return node if self.seed % 2 else self.entries[0]

    def race_operators(self, node: Node) -> None:
        """Cancel the change while the drain prepares it."""
        self.stimulate('change not wanted', node)

    def reclaim_target(self, node: Node) -> None:
        """Make the target unavailable for a time."""
        self._stop_target(2500)

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about an event that is no fault of the matrix."""
        if name == 'entry killed':
            self.entries[0].kill(RESTART_MS)
        elif name == 'target stuck':
            self._stop_target(DRAIN_LIMIT_MS + DRAIN_PAUSE_MS)
        else:
            self.world.schedule(
                0, lambda: self.control.dispatch(ChangeCancelled())
            )

    def check_progress(self, since_ms: int) -> None:
        """Check that the target is changed after the faults healed."""
        if not any(
            time_ms >= since_ms for time_ms in self.target.change_times_ms
        ):
            self.world.record_violation(f'no change since {since_ms} ms')

    def _stop_target(self, duration_ms: int) -> None:
        self.target.is_down = True

        def heal() -> None:
            self.target.is_down = False

        self.world.schedule(duration_ms, heal)

    def _update_membership(self) -> None:
        now_ms = self.world.now_ms
        for entry in self.entries:
            if entry.is_alive:
                self._dead_since_ms_by_entry.pop(entry.name, None)
            else:
                self._dead_since_ms_by_entry.setdefault(entry.name, now_ms)
            dead_ms = now_ms - self._dead_since_ms_by_entry.get(
                entry.name, now_ms
            )
            if dead_ms >= UNLIST_LAG_MS:
                event = PeerUnlisted(entry.name)
                self.control.deliver(
                    lambda what=event: self.control.handle_membership_event(
                        what
                    )
                )
        self.world.schedule(TICK_MS, self._update_membership)
