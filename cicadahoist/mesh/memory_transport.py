"""In-memory transport with seeded loss, delay and partitions, for tests."""

from random import Random

from cicadahoist.clock import Clock
from cicadahoist.mesh.transport import Receiver


class MemoryNetwork:
    """
    Network that connects the transports within one process.

    :param clock: time source, usually a manual clock
    :param seed: seed of the random losses and delays
    :param loss: share of messages that are lost
    :param delay_ms: shortest and longest delay of a message
    """

    __slots__ = (
        '_clock',
        '_cuts',
        '_delay_ms',
        '_random',
        '_receiver_by_address',
        'loss',
        'sent_bytes',
        'sent_messages',
    )

    def __init__(
        self,
        clock: Clock,
        *,
        seed: int = 0,
        loss: float = 0,
        delay_ms: tuple[int, int] = (1, 1),
    ) -> None:
        self._clock = clock
        self._random = Random(seed)
        self._delay_ms = delay_ms
        self._cuts: set[tuple[str, str]] = set()
        self._receiver_by_address: dict[str, Receiver] = {}
        self.loss = loss
        self.sent_messages = 0
        self.sent_bytes = 0

    def transport(self, address: str) -> 'MemoryTransport':
        """Return a transport for an address."""
        return MemoryTransport(self, address)

    def cut(self, source: str, destination: str) -> None:
        """Drop all messages from one address to another."""
        self._cuts.add((source, destination))

    def cut_between(self, left: list[str], right: list[str]) -> None:
        """Drop all messages between two groups of addresses."""
        for one in left:
            for other in right:
                self.cut(one, other)
                self.cut(other, one)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def attach(self, address: str, receiver: Receiver) -> None:
        """Deliver messages for an address to a receiver."""
        self._receiver_by_address[address] = receiver

    def detach(self, address: str) -> None:
        """Drop all later messages to an address."""
        self._receiver_by_address.pop(address, None)

    def post(self, source: str, destination: str, wire: bytes) -> None:
        """Deliver a message after a random delay, or drop it."""
        self.sent_messages += 1
        self.sent_bytes += len(wire)
        is_lost = self._random.random() < self.loss
        delay_ms = self._random.randint(*self._delay_ms)
        if not is_lost and (source, destination) not in self._cuts:
            self._clock.call_later(delay_ms, self._deliver, destination, wire)

    def _deliver(self, destination: str, wire: bytes) -> None:
        receiver = self._receiver_by_address.get(destination)
        if receiver is not None:
            receiver(wire)


class MemoryTransport:
    """
    Transport of one address of an in-memory network.

    :param network: the network
    :param address: own address
    """

    __slots__ = ('_address', '_network', 'connected')

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self.connected: set[str] = set()

    def start(self, receiver: Receiver) -> None:
        """Start passing received messages to ``receiver``."""
        self._network.attach(self._address, receiver)

    def send(self, address: str, wire: bytes) -> bool:
        """Post a message."""
        self.connected.add(address)
        self._network.post(self._address, address, wire)
        return True

    def close_connection(self, address: str) -> None:
        """Close a connection; messages in flight may still be delivered."""
        self.connected.discard(address)

    def stop(self) -> None:
        """Drop all later messages to the own address."""
        self._network.detach(self._address)
