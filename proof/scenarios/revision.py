"""Operators commit revisions of a table; instances put them in force."""

from typing import Any

from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.revision import (
    REVISION_KIT,
    ApplyTable,
    LoadFailed,
    LoadTable,
    RevisionOffered,
    TableLoaded,
    TableRevision,
)
from proof.scenario import SCENARIOS, TICK_MS, Scenario
from proof.store import CONFLICT
from proof.world import Node, Service, ServiceFailure, World

HEAD_NAME = 'table/head'
COMMIT_PERIOD_MS = 700
PUSH_SHARE = 0.3
PUSH_DELAY_MS = (1, 1500)
SLOW_LOAD_SHARE = 0.2
SLOW_LOAD_MS = 350
IN_FORCE_LIMIT_MS = 6000


class PeerService(Service):
    """The service of an instance that its peers read revisions from."""

    def __init__(self, node: 'Instance') -> None:
        super().__init__()
        self._node = node

    def read_revision(self) -> Any:
        """Return the revision in force, or a failure."""
        if not self._node.is_alive or self._node.is_frozen:
            return ServiceFailure()
        return self._node.served_revision


class Instance(Node):
    """An instance that drives the real :class:`TableRevision`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self.peer = PeerService(self)
        self.served_revision = 0

    def boot(self) -> None:
        """Start without a table."""
        self.table_revision = TableRevision(
            self.scenario.bind_kit(self, REVISION_KIT)
        )
        self.served_revision = 0
        self._tick(self.start_count)

    def dispatch(self, event: Any) -> None:
        """Pass an event to the table and execute its actions."""
        self.execute_all(self.table_revision.handle(event, self.world.now_ms))

    def execute(self, action: Any) -> None:
        """Execute one action against the fakes."""
        if isinstance(action, ApplyTable):
            self.served_revision = action.revision
            self.scenario.on_table_applied(self)
            self._push_to_peers(TableLoaded(action.revision))
        elif isinstance(action, LoadTable):
            self._load(action)

    def _push_to_peers(self, event: TableLoaded) -> None:
        for node in self.scenario.nodes:
            is_pushed = self.world.random.random() < PUSH_SHARE
            if node is not self and is_pushed and not self.is_outbound_cut:
                delay_ms = self.world.random.randint(*PUSH_DELAY_MS)
                self.world.schedule(
                    delay_ms, lambda peer=node: peer.receive_push(event)
                )

    def receive_push(self, event: TableLoaded) -> None:
        """Receive a delta that a peer pushes."""
        if not self.is_inbound_cut:
            self.deliver(lambda: self.dispatch(event))

    def _load(self, action: LoadTable) -> None:
        store = self.scenario.store
        is_slow = self.world.random.random() < SLOW_LOAD_SHARE
        fetch = lambda: int(store.read(HEAD_NAME)[1] or b'0')  # noqa: E731
        source: Service = store
        if action.source:
            peer = self.scenario.node_by_name[action.source].peer
            source, fetch = peer, peer.read_revision
        self.call(
            source,
            fetch,
            lambda answer: self._finish_load(answer, is_slow),
            lambda: self.dispatch(LoadFailed()),
        )

    def _finish_load(self, revision: int, is_slow: bool) -> None:
        delay_ms = SLOW_LOAD_MS if is_slow else 0
        start_number = self.start_count

        def finish() -> None:
            if start_number == self.start_count:
                self.dispatch(TableLoaded(revision))

        self.world.schedule(delay_ms, lambda: self.deliver(finish))

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self.dispatch(Tick())
            self._poll_revisions()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _poll_revisions(self) -> None:
        store = self.scenario.store
        self.call(
            store,
            lambda: int(store.read(HEAD_NAME)[1] or b'0'),
            lambda revision: self.dispatch(RevisionOffered(revision)),
            lambda: None,
        )
        for name, node in self.scenario.node_by_name.items():
            if name != self.name:
                self.call(
                    node.peer,
                    node.peer.read_revision,
                    lambda revision, source=name: self.dispatch(
                        RevisionOffered(revision, source)
                    ),
                    lambda: None,
                )


@SCENARIOS.register('revision')
class RevisionScenario(Scenario):
    """Table revisions, checked by the revision that each instance serves."""

    chart_names = ('revision',)
    reason_by_impossible_fault = {'target reclaimed': 'no target takes part'}

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.nodes = [
            Instance(self.world, name, self) for name in ('i1', 'i2', 'i3')
        ]
        self.node_by_name = {node.name: node for node in self.nodes}
        self._highest_by_incarnation: dict[str, int] = {}
        self.world.schedule(0, self._commit_periodically)

    def on_table_applied(self, node: Instance) -> None:
        """Check that the served revision increases and was committed."""
        served_revision = node.served_revision
        if served_revision <= self._highest_by_incarnation.get(
            node.incarnation, 0
        ):
            self.world.record_violation(
                f'{node.incarnation} went back to {served_revision}'
            )
        self._highest_by_incarnation[node.incarnation] = served_revision
        if served_revision > int(self.store.read(HEAD_NAME)[1] or b'0'):
            self.world.record_violation(
                f'{served_revision} was never committed'
            )

    def race_operators(self, node: Node) -> None:
        """Commit twice on the same revision; one commit must conflict."""
        version, payload = self.store.read(HEAD_NAME)
        next_payload = str(int(payload or b'0') + 1).encode()
        self.store.write(HEAD_NAME, next_payload, version)
        if self.store.write(HEAD_NAME, next_payload, version) != CONFLICT:
            self.world.record_violation('two operators committed one revision')

    def check_end(self) -> None:
        """Check that all instances serve a revision that is recent enough."""
        due_ms = self.world.now_ms - IN_FORCE_LIMIT_MS
        due_revisions = [
            int(text)
            for written_ms, _, _, text in self.store.writes
            if written_ms < due_ms
        ]
        for node in self.nodes:
            if not self.plan and node.served_revision < max(
                due_revisions, default=0
            ):
                self.world.record_violation(
                    f'{node.name} serves old revision {node.served_revision}'
                )

    def _commit_periodically(self) -> None:
        version, payload = self.store.read(HEAD_NAME)
        if not self.store.is_down:
            next_payload = str(int(payload or b'0') + 1).encode()
            self.store.write(HEAD_NAME, next_payload, version)
        self.world.schedule(COMMIT_PERIOD_MS, self._commit_periodically)
