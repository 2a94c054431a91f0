"""What an instance knows of those it exchanges batches with."""

from cicadahoist.messages import Batch, InstanceInfo

NEVER = -1


class Peer:
    """
    One instance that was heard directly.

    :param info: identity and address of its present incarnation
    """

    __slots__ = (
        'echoed_ms',
        'heard_ms',
        'info',
        'sequence',
        'stamp_ms',
    )

    def __init__(self, info: InstanceInfo) -> None:
        self.info = info
        self.heard_ms = NEVER
        self.sequence = NEVER
        self.stamp_ms = 0
        self.echoed_ms = NEVER


class PeerSet:
    """
    Peers by name; tells dead, cut off, one-way cut and restarted apart.

    An incarnation that was replaced is never heard again, however late its
    messages come.

    :param own: identity of this process
    :param timeout_ms: silence after which a peer counts as away
    """

    __slots__ = ('_own', '_retired', '_timeout_ms', 'by_name')

    def __init__(self, own: InstanceInfo, timeout_ms: int) -> None:
        self._own = own
        self._timeout_ms = timeout_ms
        self._retired: set[str] = set()
        self.by_name: dict[str, Peer] = {}

    def accept(self, batch: Batch, now_ms: int) -> bool:
        """
        Note a batch.

        :return: whether it is newer than all before from the same instance
        """
        sender = batch.sender
        if sender.incarnation in self._retired:
            return False
        peer = self._peer_of(sender)
        if batch.sequence <= peer.sequence:
            return False
        peer.sequence = batch.sequence
        peer.heard_ms = now_ms
        peer.stamp_ms = batch.sent_ms
        if batch.echo_incarnation == self._own.incarnation:
            peer.echoed_ms = max(peer.echoed_ms, batch.echo_ms)
        return True

    def live(self, zone: str, now_ms: int) -> dict[str, InstanceInfo]:
        """Return the instances of a zone that were heard of late."""
        return {
            name: peer.info
            for name, peer in self.by_name.items()
            if peer.info.zone == zone and self._is_heard(peer, now_ms)
        }

    def reachable(self, zone: str, now_ms: int) -> dict[str, InstanceInfo]:
        """Return the instances of a zone that also hear this one."""
        return {
            name: info
            for name, info in self.live(zone, now_ms).items()
            if self._hears_us(self.by_name[name], now_ms)
        }

    def silent(self, now_ms: int) -> list[InstanceInfo]:
        """Return the peers that were not heard of late."""
        return [
            peer.info
            for peer in self.by_name.values()
            if not self._is_heard(peer, now_ms)
        ]

    def forget(self, silent_ms: int, now_ms: int) -> None:
        """Remove the peers that were silent for a time."""
        for name, peer in list(self.by_name.items()):
            if now_ms - peer.heard_ms > silent_ms:
                self._retired.add(peer.info.incarnation)
                self.by_name.pop(name)

    def _peer_of(self, sender: InstanceInfo) -> Peer:
        peer = self.by_name.get(sender.name)
        if peer is None:
            peer = Peer(sender)
        elif peer.info.incarnation != sender.incarnation:
            self._retired.add(peer.info.incarnation)
            peer = Peer(sender)
        self.by_name[sender.name] = peer
        return peer

    def _is_heard(self, peer: Peer, now_ms: int) -> bool:
        return now_ms - peer.heard_ms <= self._timeout_ms

    def _hears_us(self, peer: Peer, now_ms: int) -> bool:
        heard = peer.echoed_ms != NEVER
        return heard and now_ms - peer.echoed_ms <= self._timeout_ms


def address_of(info: InstanceInfo) -> str:
    """Return the address under which an instance is reached."""
    return f'{info.address}:{info.port}'
