"""Cluster whose instances follow the table in an in-memory store."""

from random import Random

from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.table_sync import TableSync
from cicadahoist.outside.tablestore import RowChange, TableStore
from cicadahoist.standin.memory import Cut, MemoryStore
from cicadahoist.standin.objects import ObjectModel
from cicadahoist.table import Workspace
from tests.test_mesh.cluster import Cluster, run

WATCH_MS = 2000


class Fleet(Cluster):
    """Instances with one connection each to the same store."""

    def __init__(self, sizes, *, reads_per_s=0, **faults) -> None:
        self.model = ObjectModel(reads_per_s=reads_per_s)
        self.stores: dict[str, MemoryStore] = {}
        self.syncs: dict[str, TableSync] = {}
        super().__init__(sizes, **faults)
        self.operator = TableStore(MemoryStore(self.model, self.clock))

    def start(self, name: str) -> MeshNode:
        node = super().start(name)
        store = MemoryStore(self.model, self.clock)
        self.stores[name] = store
        self.syncs[name] = TableSync(
            store,
            node,
            self.clock,
            watch_wait_ms=WATCH_MS,
            random=Random(len(self.syncs)),
        )
        run(self.syncs[name].start())
        return node

    def kill(self, name: str) -> None:
        super().kill(name)
        run(self.syncs.pop(name).stop())

    def save(self, name: str) -> int:
        """Commit a workspace, and return the revision."""
        return run(self.operator.commit([RowChange(row=Workspace(name=name))]))

    def revisions(self) -> dict[str, int]:
        return {
            name: sync.table().revision for name, sync in self.syncs.items()
        }

    def all_have(self, revision: int) -> bool:
        return set(self.revisions().values()) == {revision}

    def cut_store(self, names, cut=Cut.requests) -> None:
        for name in names:
            self.stores[name].cut = cut

    def watchers(self, zone: str) -> list[str]:
        return [
            name
            for name, node in self.nodes.items()
            if node.info.zone == zone and self.syncs[name].is_watcher()
        ]

    def age_ms(self, name: str) -> int:
        return self.syncs[name].age_ms(self.clock.now_ms())
