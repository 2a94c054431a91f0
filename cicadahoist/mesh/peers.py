"""Membership state of peers, and the batches exchanged with them."""

from collections.abc import Mapping

from cicadahoist.messages import Batch, Heartbeat, InstanceInfo
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.membership import (
    HEARD_STATES,
    REACHABLE_STATES,
    HeartbeatReceived,
    Membership,
    PeerListed,
    PeerUnlisted,
)

NO_BATCH = -1

SILENT_STATES = frozenset(('seeded', 'silent'))


InstancesByName = Mapping[str, InstanceInfo]
PeerQuery = tuple[frozenset[str], str]


class BatchState:
    """
    Sequence number and timestamps of the batches of one peer incarnation.

    ``peer_sent_ms`` is the send time of its newest batch by the peer's
    clock.  ``echoed_ms`` is the send time, by the own clock, of the newest
    batch that the peer has acknowledged.

    :param incarnation: the incarnation
    """

    __slots__ = ('echoed_ms', 'incarnation', 'peer_sent_ms', 'sequence')

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.sequence = NO_BATCH
        self.peer_sent_ms = 0
        self.echoed_ms = NO_BATCH


class PeerSet:
    """
    Peers by name, with their membership state and exchanged batches.

    Batches of a replaced incarnation are ignored while its successor is
    live, however late they arrive.

    :param own: identity of this process
    :param timeout_ms: silence after which a peer is considered silent
    """

    __slots__ = (
        '_batch_state_by_name',
        '_cached_by_query',
        '_membership',
        '_own',
    )

    def __init__(self, own: InstanceInfo, timeout_ms: int) -> None:
        self._own = own
        self._membership = Membership(own, timeout_ms)
        self._batch_state_by_name: dict[str, BatchState] = {}
        # Cached until a peer changes, since most batches change nothing.
        self._cached_by_query: dict[PeerQuery, InstancesByName] = {}

    def accept(self, batch: Batch, now_ms: int) -> bool:
        """
        Record the sequence number and timestamps of a batch.

        :return: whether the batch is newer than all earlier ones of the same
            incarnation, and so must be processed
        """
        sender = batch.sender
        if self._is_replaced(sender, now_ms):
            return False
        state = self._batch_state_by_name.get(sender.name)
        if state is None or state.incarnation != sender.incarnation:
            state = BatchState(sender.incarnation)
            self._batch_state_by_name[sender.name] = state
        if batch.sequence <= state.sequence:
            return False
        state.sequence = batch.sequence
        state.peer_sent_ms = batch.sent_ms
        if batch.echo_incarnation == self._own.incarnation:
            state.echoed_ms = max(state.echoed_ms, batch.echo_ms)
        return True

    def apply_heartbeat(
        self, sender: InstanceInfo, heartbeat: Heartbeat, now_ms: int
    ) -> None:
        """Apply the state that a peer reported in a heartbeat."""
        event = HeartbeatReceived(sender, heartbeat)
        is_same = self.find(sender.name) == sender
        if self._membership.handle(event, now_ms) or not is_same:
            self._cached_by_query.clear()

    def apply_timeouts(self, now_ms: int) -> None:
        """Mark peers as silent whose heartbeats have timed out."""
        if self._membership.handle(Tick(), now_ms):
            self._cached_by_query.clear()

    def apply_instance_list(
        self, listed: list[InstanceInfo], now_ms: int
    ) -> None:
        """Apply the platform's list of instances."""
        self._cached_by_query.clear()
        names = {instance.name for instance in listed}
        for instance in listed:
            if instance.name != self._own.name:
                self._membership.handle(PeerListed(instance), now_ms)
        for name in set(self._membership.peers_by_name) - names:
            self._membership.handle(PeerUnlisted(name), now_ms)

    def list_heard_incarnations(self) -> dict[str, str]:
        """Return the incarnations that were heard recently, by name."""
        return self._membership.heard_incarnations()

    def live(self, zone: str) -> InstancesByName:
        """Return the instances of a zone that were heard recently, by name."""
        return self._in_states(HEARD_STATES, zone)

    def reachable(self, zone: str) -> InstancesByName:
        """Return the live instances of a zone that also hear this one."""
        return self._in_states(REACHABLE_STATES, zone)

    def not_gone(self) -> dict[str, InstanceInfo]:
        """Return the instances that may still be running, by name."""
        return {each.name: each for each in self._membership.not_gone()}

    def list_silent(self) -> list[InstanceInfo]:
        """Return the instances that are silent but may be running."""
        return [
            peer.info
            for peer in self._membership.peers_by_name.values()
            if peer.state in SILENT_STATES
        ]

    def find(self, name: str) -> InstanceInfo | None:
        """Return the identity of a peer, live or not."""
        peer = self._membership.peers_by_name.get(name)
        return None if peer is None else peer.info

    def find_batch_state(self, name: str) -> BatchState | None:
        """Return the batch state of a peer, or none before its first batch."""
        return self._batch_state_by_name.get(name)

    def _is_replaced(self, sender: InstanceInfo, now_ms: int) -> bool:
        peer = self._membership.peers_by_name.get(sender.name)
        if peer is None or sender.incarnation not in peer.retired_incarnations:
            return False
        return now_ms - peer.last_heartbeat_ms < self._membership.timeout_ms

    def _in_states(self, states: frozenset[str], zone: str) -> InstancesByName:
        chosen = self._cached_by_query.get((states, zone))
        if chosen is None:
            chosen = {
                name: peer.info
                for name, peer in self._membership.peers_by_name.items()
                if peer.state in states and peer.info.zone == zone
            }
            self._cached_by_query[states, zone] = chosen
        return chosen


def address_of(instance: InstanceInfo) -> str:
    """Return the mesh address (``host:port``) of an instance."""
    return f'{instance.address}:{instance.port}'
