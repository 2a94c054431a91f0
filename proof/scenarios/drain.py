"""A control process drains a target that entries send work to."""

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
LIST_LAG_MS = 900
LIMIT_MS = 4000
PAUSE_MS = 500
WORK_SHARE = 0.5
WORK_MS = (20, 300)
LONG_SHARE = 0.03
LONG_MS = 2600
CHANGE_MS = 300
TARGET = 't1'


class Target(Service):
    """A target that counts its work and is changed."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.open = 0
        self.changes: list[int] = []
        self._changed_until_ms = -1

    def work(self, duration_ms: int) -> str:
        """Take a request."""
        if self._world.now_ms < self._changed_until_ms:
            self._world.violate('a request came during a planned change')
        self.open += 1
        self._world.later(duration_ms, self._finish)
        return 'done'

    def change(self) -> str:
        """Carry out a planned change, which would cut requests."""
        if self.open:
            self._world.violate(f'{self.open} requests cut by a change')
        self.changes.append(self._world.now_ms)
        self._changed_until_ms = self._world.now_ms + CHANGE_MS
        return 'done'

    def _finish(self) -> None:
        self.open -= 1


class Entry(Node):
    """An entry that sends work and follows drain notices."""

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
        """Start without knowing whether a drain is on."""
        self.heard_by_control = False
        self.notices = DrainNotices()
        self.open = 0
        self._tick(self.starts)

    def take(self, batch: list[Any]) -> None:
        """Take a batch of the control process."""
        for message in batch:
            if isinstance(message, Heartbeat):
                heard = message.heard.get(self.name)
                self.heard_by_control = heard == self.incarnation
            elif isinstance(message, DrainNotice):
                self.notices.apply(message)

    def _tick(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self._report()
            drained = self.notices.is_drained(TARGET)
            if self.heard_by_control and not drained:
                if self.world.random.random() < WORK_SHARE:
                    self._work()
        self.world.later(TICK_MS, lambda: self._tick(started))

    def _report(self) -> None:
        heartbeat = Heartbeat(heard={}, revision=1, in_force_ms=0)
        control = self.scenario.control
        event = HeartbeatReceived(self.info, heartbeat)
        self.scenario.send(self, control, lambda: control.hear(event))
        open_by_target = {TARGET: self.open}
        for ack in self.notices.make_acks(
            self.name, self.incarnation, open_by_target
        ):
            acked = DrainAcked(ack)
            self.scenario.send(
                self, control, lambda what=acked: control.offer(what)
            )

    def _work(self) -> None:
        self.open += 1
        random = self.world.random
        long = random.random() < LONG_SHARE
        self.carry_out([LONG_MS if long else random.randint(*WORK_MS)])

    def execute(self, action: Any) -> None:
        """Send a request of a duration, and count it until it ends."""
        target = self.scenario.target
        started = self.starts

        def end() -> None:
            if started == self.starts:
                self.open -= 1

        self.call(
            target,
            lambda: target.work(action),
            lambda _: self.world.later(action, lambda: self.deliver(end)),
            end,
        )


class Planner(Node):
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
        self.members = Membership(own, PEER_TIMEOUT_MS)
        self.drain: Drain | None = None
        self._drains = 0
        self._quiet_until_ms = self.world.now_ms + RESTART_MS
        ended = DrainNotice(
            target=TARGET, order=f'{self.starts}.0', active=False
        )
        self._withdrawn = [ended]
        for entry in self.scenario.entries:
            self.members.handle(PeerListed(entry.info), self.world.now_ms)
        self._tick(self.starts)

    def hear(self, event: Any) -> None:
        """Take in what tells about entries."""
        before = self._entries()
        self.members.handle(event, self.world.now_ms)
        if self._entries() != before:
            self.offer(EntriesChanged(self._entries()))

    def offer(self, event: Any) -> None:
        """Pass an event to the drain and carry out its actions."""
        if self.drain is not None:
            self.carry_out(self.drain.handle(event, self.world.now_ms))

    def execute(self, action: Any) -> None:
        """Carry out one action against the fakes."""
        target = self.scenario.target
        if isinstance(action, SendNotice):
            self._notify(action.notice)
        elif isinstance(action, ReadLoad):
            self.call(
                target,
                lambda: target.open,
                lambda count: self.offer(LoadRead(action.requested_ms, count)),
                lambda: None,
            )
        elif isinstance(action, AllowChange):
            self.call(target, target.change, self._end, self._settle)

    def _end(self, answer: str) -> None:
        self.world.later(
            CHANGE_MS, lambda: self.deliver(lambda: self.offer(ChangeEnded()))
        )

    def _settle(self) -> None:
        """Read the target until it tells whether the change goes on."""
        target = self.scenario.target
        retry = lambda: self.world.later(  # noqa: E731
            CALL_TIMEOUT_MS, lambda: self.deliver(self._settle)
        )
        self.call(target, lambda: 'read', self._end, retry)

    def _entries(self) -> dict[str, str]:
        return {info.name: info.incarnation for info in self.members.not_gone()}

    def _notify(self, notice: DrainNotice) -> None:
        if not notice.active:
            self._withdrawn.append(notice)
        for entry in self.scenario.entries:
            self.scenario.send(self, entry, lambda to=entry: to.take([notice]))

    def _tick(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self.hear(Tick())
            self.offer(Tick())
            self._greet()
            self._start_drain()
        self.world.later(TICK_MS, lambda: self._tick(started))

    def _greet(self) -> None:
        heartbeat = Heartbeat(
            heard=self.members.heard_incarnations(), revision=1, in_force_ms=0
        )
        batch: list[Any] = [*self._withdrawn[-2:]]
        notice = self.drain and self.drain.active_notice()
        if notice:
            batch.append(notice)
        batch.append(heartbeat)
        for entry in self.scenario.entries:
            self.scenario.send(self, entry, lambda to=entry: to.take(batch))

    def _start_drain(self) -> None:
        now_ms = self.world.now_ms
        if self.drain is not None and self.drain.state in {
            'ended',
            'postponed',
        }:
            self.drain = None
            self._quiet_until_ms = now_ms + PAUSE_MS
        if self.drain is None and now_ms >= self._quiet_until_ms:
            self._drains += 1
            self.drain = Drain(
                TARGET,
                f'{self.starts}.{self._drains}',
                self._entries(),
                now_ms + LIMIT_MS,
                self.scenario.kit(self, DRAIN_KIT),
            )


@SCENARIOS.register('drain')
class DrainScenario(Scenario):
    """Drains; checked at the target."""

    charts = ('drain',)
    stimuli = ('entry killed', 'change not wanted', 'target stuck')
    cannot_occur = {
        'store down': 'no store call is made',
        'store slow': 'no store call is made',
    }

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.target = Target(self.world)
        self.control = Planner(self.world, 'c1', self)
        self.entries = [
            Entry(self.world, name, self) for name in ('e1', 'e2', 'e3')
        ]
        self.nodes = [*self.entries, self.control]
        self._dead_since: dict[str, int] = {}
        self.world.later(0, self._list)

    def send(self, sender: Node, receiver: Node, take: Any) -> None:
        """Carry a message, unless the mesh is cut."""
        if sender.cut_out:
            return

        def arrive() -> None:
            if not receiver.cut_back:
                receiver.deliver(take)

        self.world.later(self.world.latency(), arrive)

    def victim(self, node: Node) -> Node:
        """Faults meet an entry under even seeds, else the control process."""
        return node if self.seed % 2 else self.entries[0]

    def race(self, node: Node) -> None:
        """An operator takes the change back while it is being prepared."""
        self.stimulate('change not wanted', node)

    def reclaim(self, node: Node) -> None:
        """The target answers nothing for a time."""
        self._stop_target(2500)

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about something that is no fault of the matrix."""
        if name == 'entry killed':
            self.entries[0].kill(RESTART_MS)
        elif name == 'target stuck':
            self._stop_target(LIMIT_MS + PAUSE_MS)
        else:
            self.world.later(0, lambda: self.control.offer(ChangeCancelled()))

    def check_progress(self, since_ms: int) -> None:
        """The target must be changed again once all has healed."""
        if not any(at >= since_ms for at in self.target.changes):
            self.world.violate(f'no change since {since_ms} ms')

    def _stop_target(self, duration_ms: int) -> None:
        self.target.down = True

        def heal() -> None:
            self.target.down = False

        self.world.later(duration_ms, heal)

    def _list(self) -> None:
        now_ms = self.world.now_ms
        for entry in self.entries:
            if entry.alive:
                self._dead_since.pop(entry.name, None)
            else:
                self._dead_since.setdefault(entry.name, now_ms)
            dead_ms = now_ms - self._dead_since.get(entry.name, now_ms)
            if dead_ms >= LIST_LAG_MS:
                event = PeerUnlisted(entry.name)
                self.control.deliver(lambda what=event: self.control.hear(what))
        self.world.later(TICK_MS, self._list)
