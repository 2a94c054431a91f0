"""Compares table revisions with peers, and exchanges deltas."""

from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.table_state import TableState
from cicadahoist.messages import (
    Heartbeat,
    InstanceInfo,
    TableDelta,
    TableWanted,
)


class TablePeers:
    """
    Requests newer revisions from peers, and answers such requests.

    :param node: the mesh node of this process
    :param state: state of the table in force
    """

    __slots__ = ('_node', '_state', 'newest_peer_revision')

    def __init__(self, node: MeshNode, state: TableState) -> None:
        self.newest_peer_revision = 0
        self._node = node
        self._state = state
        node.subscribe(Heartbeat, self._on_heartbeat)
        node.subscribe(TableDelta, self._on_delta)
        node.subscribe(TableWanted, self._on_wanted)

    def announce(self, old_revision: int) -> None:
        """Broadcast the changes since an older revision to the zone."""
        delta = self._state.replica.build_delta(old_revision)
        self._node.broadcast_zone(delta)

    def _on_heartbeat(self, sender: InstanceInfo, heartbeat: Heartbeat) -> None:
        self.newest_peer_revision = max(
            self.newest_peer_revision, heartbeat.revision
        )
        if heartbeat.revision > self._state.revision:
            if self._state.record_peer_revision(
                heartbeat.revision, sender.name
            ):
                wanted = TableWanted(revision=self._state.revision)
                self._node.send_to(sender.name, wanted)
        elif heartbeat.revision == self._state.revision:
            self._state.freshness.confirm_by_peer(
                self._node.get_echoed_ms(sender.name),
                heartbeat.confirmed_age_ms,
            )

    def _on_wanted(self, sender: InstanceInfo, wanted: TableWanted) -> None:
        if wanted.revision < self._state.revision:
            delta = self._state.replica.build_delta(wanted.revision)
            self._node.send_to(sender.name, delta)

    def _on_delta(self, sender: InstanceInfo, delta: TableDelta) -> None:
        self._state.apply_delta(delta)
