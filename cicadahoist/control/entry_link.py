"""Connection of a control process to the entry of its instance."""

from collections.abc import Callable
from typing import Any

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.mesh.local_messages import (
    EntryState,
    Received,
    SendToAll,
    decode_local,
    encode_local,
)
from cicadahoist.mesh.local_pair import LocalPair, NngPair
from cicadahoist.messages import InstanceInfo, Message
from cicadahoist.settings import LOCAL_PORT, PEER_TIMEOUT

logger = get_logger(__name__)

Subscriber = Callable[[InstanceInfo, Any], None]
InstanceByName = dict[str, InstanceInfo]


class EntryLink:
    """
    Gives a control process access to the mesh through its entry.

    :param pair: connection to the entry
    :param clock: clock of the process
    :param timeout_ms: time without a message after which the link is down
    """

    __slots__ = (
        '_clock',
        '_last_state_ms',
        '_pair',
        '_state',
        '_subscribers',
        '_timeout_ms',
    )

    def __init__(self, pair: LocalPair, clock: Clock, timeout_ms: int) -> None:
        self._pair = pair
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._last_state_ms = 0
        self._state: EntryState | None = None
        self._subscribers: dict[type, list[Subscriber]] = {}

    @classmethod
    def from_config(
        cls, config: Config, clock: Clock, reactor: Any
    ) -> 'EntryLink':
        """Build the link from the settings."""
        pair = NngPair(reactor, config.read(LOCAL_PORT), listens=False)
        return cls(pair, clock, config.read(PEER_TIMEOUT))

    async def start(self) -> None:
        """Connect to the entry."""
        self._pair.start(self._receive)

    async def stop(self) -> None:
        """Close the connection."""
        self._pair.stop()

    def is_up(self) -> bool:
        """Return whether the entry sent its state within the timeout."""
        if self._state is None:
            return False
        return self._clock.now_ms() - self._last_state_ms <= self._timeout_ms

    def list_live(self, zone: str) -> InstanceByName:
        """
        Return the live instances of a zone by name.

        The result is empty while the link is down.
        """
        if self._state is None or not self.is_up():
            return {}
        live = self._state.live
        return {each.name: each for each in live if each.zone == zone}

    def list_not_gone(self) -> InstanceByName:
        """Return the instances of all zones that may be running, by name."""
        if self._state is None:
            return {}
        return {each.name: each for each in self._state.not_gone}

    def subscribe(self, message_type: type, callback: Subscriber) -> None:
        """Call ``callback`` with the sender and each message of a type."""
        self._subscribers.setdefault(message_type, []).append(callback)

    def broadcast(self, message: Message) -> None:
        """Send a message to all instances, including the own entry."""
        self._pair.send(encode_local(SendToAll(message=message)))

    def _receive(self, wire: bytes) -> None:
        try:
            local = decode_local(wire)
        except WireError as error:
            logger.warning('invalid message from the entry ignored: {0}', error)
            return
        if isinstance(local, EntryState):
            self._state = local
            self._last_state_ms = self._clock.now_ms()
        elif isinstance(local, Received):
            for callback in self._subscribers.get(type(local.message), ()):
                callback(local.sender, local.message)
