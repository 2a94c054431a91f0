"""Instances exchange heartbeats over a mesh with faulty links."""

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
UNLIST_LAG_MS = 900
LATE_SHARE = 0.15
LATE_DELAY_MS = (500, 5000)


class Member(Node):
    """An instance that drives the real :class:`Membership`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self.is_leaving = False

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
        """Start with peers that are listed but not yet heard."""
        self.is_leaving = False
        kit = self.scenario.bind_kit(self, PEER_KIT)
        self.membership = Membership(self.info, PEER_TIMEOUT_MS, kit)
        for node in self.scenario.nodes:
            if node is not self:
                self.dispatch(PeerListed(node.info))
        self._tick(self.start_count)

    def dispatch(self, event: Any) -> None:
        """Pass an event to the membership and check the changes of peers."""
        if self.is_alive and not self.is_frozen:
            for changed in self.membership.handle(event, self.world.now_ms):
                self.scenario.on_peer_changed(changed)

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self.dispatch(Tick())
            self._send_heartbeats()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(
            heard=self.membership.heard_incarnations(),
            revision=1,
            in_force_ms=0,
            leaving=self.is_leaving,
        )
        event = HeartbeatReceived(self.info, heartbeat)
        for name in self.membership.peers_by_name:
            self.scenario.send(self, name, event)


@SCENARIOS.register('peer')
class PeerScenario(Scenario):
    """Membership, checked against the processes that run."""

    chart_names = ('peer',)
    stimuli = ('leave', 'gone for long')
    reason_by_impossible_fault = {
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
        self.node_by_name = {node.name: node for node in self.nodes}
        self._dead_since_ms_by_name: dict[str, int] = {}
        self.world.schedule(0, self._publish_listing)

    def send(self, sender: Member, name: str, event: Any) -> None:
        """Deliver a heartbeat, with a long delay for some of them."""
        world = self.world
        if sender.is_outbound_cut:
            return
        delay_ms = world.draw_latency_ms()
        if world.random.random() < LATE_SHARE:
            delay_ms = world.random.randint(*LATE_DELAY_MS)
        receiver = self.node_by_name[name]

        def arrive() -> None:
            if not receiver.is_inbound_cut:
                receiver.deliver(lambda: receiver.dispatch(event))

        world.schedule(delay_ms, arrive)

    def on_peer_changed(self, changed: PeerChanged) -> None:
        """Check that no running process is considered gone."""
        node = self.node_by_name[changed.info.name]
        is_running = (
            node.is_alive and node.incarnation == changed.info.incarnation
        )
        if changed.state == 'gone' and is_running:
            self.world.record_violation(
                f'{node.incarnation} runs but is considered gone'
            )

    def stimulate(self, name: str, node: Node) -> None:
        """Let a process leave, or restart only after a long time."""
        start_number = node.start_count
        if name == 'gone for long':
            node.kill(5000)
            return
        self.node_by_name[node.name].is_leaving = True
        self.world.schedule(
            2500,
            lambda: (
                node.kill(4000) if start_number == node.start_count else None
            ),
        )

    def check_end(self) -> None:
        """Check that all running processes consider each other live."""
        if self.plan:
            return
        for node in self.nodes:
            live_incarnations = {
                info.incarnation for info in node.membership.live()
            }
            peer_incarnations = {
                peer.incarnation
                for peer in self.nodes
                if peer is not node and not peer.is_leaving
            }
            if node.is_alive and live_incarnations != peer_incarnations:
                self.world.record_violation(
                    f'{node.name} sees {sorted(live_incarnations)} live'
                )

    def _publish_listing(self) -> None:
        """Send the platform's list, which lags, to all instances."""
        now_ms = self.world.now_ms
        for node in self.nodes:
            if node.is_alive:
                self._dead_since_ms_by_name.pop(node.name, None)
            else:
                self._dead_since_ms_by_name.setdefault(node.name, now_ms)
            for receiver in self.nodes:
                if receiver is not node:
                    self._send_listing(receiver, node, now_ms)
        self.world.schedule(LIST_PERIOD_MS, self._publish_listing)

    def _send_listing(
        self, receiver: Member, node: Member, now_ms: int
    ) -> None:
        dead_ms = now_ms - self._dead_since_ms_by_name.get(node.name, now_ms)
        event: Any = PeerListed(node.info)
        if dead_ms >= UNLIST_LAG_MS:
            event = PeerUnlisted(node.name)
        receiver.deliver(lambda: receiver.dispatch(event))
