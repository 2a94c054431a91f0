"""Operators commit a table; instances put its revisions in force."""

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
from proof.world import Failed, Node, Service, World

HEAD = 'table/head'
COMMIT_PERIOD_MS = 700
PUSH_SHARE = 0.3
PUSH_MS = (1, 1500)
SLOW_LOAD_SHARE = 0.2
SLOW_LOAD_MS = 350
IN_FORCE_MS = 6000


class Peer(Service):
    """What an instance gives to its peers."""

    def __init__(self, node: 'Instance') -> None:
        super().__init__()
        self._node = node

    def revision(self) -> Any:
        """Return the revision in force, or a failure."""
        if not self._node.alive or self._node.frozen:
            return Failed()
        return self._node.served


class Instance(Node):
    """An instance that drives the real :class:`TableRevision`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario
        self.peer = Peer(self)
        self.served = 0

    def boot(self) -> None:
        """Start with no table."""
        self.table = TableRevision(self.scenario.kit(self, REVISION_KIT))
        self.served = 0
        self._tick(self.starts)

    def offer(self, event: Any) -> None:
        """Pass an event to the table and carry out its actions."""
        self.carry_out(self.table.handle(event, self.world.now_ms))

    def execute(self, action: Any) -> None:
        """Carry out one action against the fakes."""
        if isinstance(action, ApplyTable):
            self.served = action.revision
            self.scenario.on_served(self)
            self._push(TableLoaded(action.revision))
        elif isinstance(action, LoadTable):
            self._load(action)

    def _push(self, event: TableLoaded) -> None:
        for node in self.scenario.nodes:
            pushed = self.world.random.random() < PUSH_SHARE
            if node is not self and pushed and not self.cut_out:
                delay_ms = self.world.random.randint(*PUSH_MS)
                self.world.later(delay_ms, lambda to=node: to.push(event))

    def push(self, event: TableLoaded) -> None:
        """Take a delta that a peer sends unasked."""
        if not self.cut_back:
            self.deliver(lambda: self.offer(event))

    def _load(self, action: LoadTable) -> None:
        store = self.scenario.store
        slow = self.world.random.random() < SLOW_LOAD_SHARE
        fetch = lambda: int(store.read(HEAD)[1] or b'0')  # noqa: E731
        source: Service = store
        if action.source:
            peer = self.scenario.by_name[action.source].peer
            source, fetch = peer, peer.revision
        self.call(
            source,
            fetch,
            lambda answer: self._loaded(answer, slow),
            lambda: self.offer(LoadFailed()),
        )

    def _loaded(self, revision: int, slow: bool) -> None:
        delay_ms = SLOW_LOAD_MS if slow else 0
        started = self.starts

        def finish() -> None:
            if started == self.starts:
                self.offer(TableLoaded(revision))

        self.world.later(delay_ms, lambda: self.deliver(finish))

    def _tick(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self.offer(Tick())
            self._ask()
        self.world.later(TICK_MS, lambda: self._tick(started))

    def _ask(self) -> None:
        store = self.scenario.store
        self.call(
            store,
            lambda: int(store.read(HEAD)[1] or b'0'),
            lambda revision: self.offer(RevisionOffered(revision)),
            lambda: None,
        )
        for name, node in self.scenario.by_name.items():
            if name != self.name:
                self.call(
                    node.peer,
                    node.peer.revision,
                    lambda got, who=name: self.offer(RevisionOffered(got, who)),
                    lambda: None,
                )


@SCENARIOS.register('revision')
class RevisionScenario(Scenario):
    """Table revisions; checked at what instances serve by."""

    charts = ('revision',)
    cannot_occur = {'target reclaimed': 'no target takes part'}

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.nodes = [
            Instance(self.world, name, self) for name in ('i1', 'i2', 'i3')
        ]
        self.by_name = {node.name: node for node in self.nodes}
        self._highest: dict[str, int] = {}
        self.world.later(0, self._commit_often)

    def on_served(self, node: Instance) -> None:
        """Check that an instance never serves by an older table."""
        served = node.served
        if served <= self._highest.get(node.incarnation, 0):
            self.world.violate(f'{node.incarnation} went back to {served}')
        self._highest[node.incarnation] = served
        if served > int(self.store.read(HEAD)[1] or b'0'):
            self.world.violate(f'{served} was never committed')

    def race(self, node: Node) -> None:
        """Two operators commit on the same revision; one must lose."""
        version, payload = self.store.read(HEAD)
        following = str(int(payload or b'0') + 1).encode()
        self.store.write(HEAD, following, version)
        if self.store.write(HEAD, following, version) != CONFLICT:
            self.world.violate('two operators committed one revision')

    def check_end(self) -> None:
        """All instances must serve by a revision of the last seconds."""
        due_ms = self.world.now_ms - IN_FORCE_MS
        due = [int(text) for at, _, _, text in self.store.writes if at < due_ms]
        for node in self.nodes:
            if not self.plan and node.served < max(due, default=0):
                self.world.violate(f'{node.name} serves by {node.served}')

    def _commit_often(self) -> None:
        version, payload = self.store.read(HEAD)
        if not self.store.down:
            following = str(int(payload or b'0') + 1).encode()
            self.store.write(HEAD, following, version)
        self.world.later(COMMIT_PERIOD_MS, self._commit_often)
