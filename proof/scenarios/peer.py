"""Instances exchange heartbeats over a mesh with faults."""

from typing import Any

from cicadahoist.messages import Heartbeat, InstanceInfo
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.membership import (
    PEER_KIT,
    HeartbeatReceived,
    Membership,
    PeerChanged,
    PeerListed,
    PeerUnlisted,
)
from proof.scenario import SCENARIOS, TICK_MS, Scenario
from proof.world import Node, World

PEER_TIMEOUT_MS = 600
LIST_PERIOD_MS = 300
LIST_LAG_MS = 900
LATE_SHARE = 0.15
LATE_MS = (500, 5000)


class Member(Node):
    """An instance that drives the real :class:`Membership`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self.leaving = False

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
        """Start knowing nobody."""
        self.leaving = False
        kit = self.scenario.kit(self, PEER_KIT)
        self.members = Membership(self.info, PEER_TIMEOUT_MS, kit)
        for node in self.scenario.nodes:
            if node is not self:
                self.offer(PeerListed(node.info))
        self._round(self.starts)

    def offer(self, event: Any) -> None:
        """Pass an event to the membership and check what it tells."""
        if self.alive and not self.frozen:
            for changed in self.members.handle(event, self.world.now_ms):
                self.scenario.on_changed(changed)

    def _round(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self.offer(Tick())
            self._send()
        self.world.later(TICK_MS, lambda: self._round(started))

    def _send(self) -> None:
        heartbeat = Heartbeat(
            heard=self.members.heard_incarnations(),
            revision=1,
            in_force_ms=0,
            leaving=self.leaving,
        )
        event = HeartbeatReceived(self.info, heartbeat)
        for name in self.members.peers_by_name:
            self.scenario.send(self, name, event)


@SCENARIOS.register('peer')
class PeerScenario(Scenario):
    """Membership; checked against which processes run."""

    charts = ('peer',)
    stimuli = ('leave', 'gone for long')
    cannot_occur = {
        'store down': 'no store call is made',
        'store slow': 'no store call is made',
        'operators at once': 'operators do not act on membership',
        'target reclaimed': 'no target takes part',
        'answer lost': 'heartbeats have no answers; see one-way cut',
    }

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.nodes = [
            Member(self.world, name, self) for name in ('m1', 'm2', 'm3')
        ]
        self.by_name = {node.name: node for node in self.nodes}
        self._dead_since: dict[str, int] = {}
        self.world.later(0, self._list)

    def send(self, sender: Member, name: str, event: Any) -> None:
        """Carry a heartbeat, some of them late."""
        world = self.world
        if sender.cut_out:
            return
        delay_ms = world.latency()
        if world.random.random() < LATE_SHARE:
            delay_ms = world.random.randint(*LATE_MS)
        receiver = self.by_name[name]

        def arrive() -> None:
            if not receiver.cut_back:
                receiver.deliver(lambda: receiver.offer(event))

        world.later(delay_ms, arrive)

    def on_changed(self, changed: PeerChanged) -> None:
        """Check that nobody takes a running process for gone."""
        node = self.by_name[changed.info.name]
        running = node.alive and node.incarnation == changed.info.incarnation
        if changed.state == 'gone' and running:
            self.world.violate(f'{node.incarnation} runs but counts as gone')

    def stimulate(self, name: str, node: Node) -> None:
        """Let a process leave, or stay away for long."""
        started = node.starts
        if name == 'gone for long':
            node.kill(5000)
            return
        self.by_name[node.name].leaving = True
        self.world.later(
            2500, lambda: node.kill(4000) if started == node.starts else None
        )

    def check_end(self) -> None:
        """All running processes must know each other as live."""
        if self.plan:
            return
        for node in self.nodes:
            live = {info.incarnation for info in node.members.live()}
            others = {
                other.incarnation
                for other in self.nodes
                if other is not node and not other.leaving
            }
            if node.alive and live != others:
                self.world.violate(f'{node.name} sees {sorted(live)} live')

    def _list(self) -> None:
        """Tell everyone the platform's lagging list."""
        now_ms = self.world.now_ms
        for node in self.nodes:
            if node.alive:
                self._dead_since.pop(node.name, None)
            else:
                self._dead_since.setdefault(node.name, now_ms)
            for other in self.nodes:
                if other is not node:
                    self._tell(other, node, now_ms)
        self.world.later(LIST_PERIOD_MS, self._list)

    def _tell(self, other: Member, node: Member, now_ms: int) -> None:
        dead_ms = now_ms - self._dead_since.get(node.name, now_ms)
        event: Any = PeerListed(node.info)
        if dead_ms >= LIST_LAG_MS:
            event = PeerUnlisted(node.name)
        other.deliver(lambda: other.offer(event))
