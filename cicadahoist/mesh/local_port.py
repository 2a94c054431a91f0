"""The entry's end of the connection that links control to the mesh."""

from typing import Any

from cicadahoist.clock import Clock, Timer
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
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import (
    DrainAck,
    InstanceInfo,
    Message,
    PoolWork,
)
from cicadahoist.settings import HEARTBEAT_PERIOD, LOCAL_PORT

logger = get_logger(__name__)

FORWARDED_TYPES = (DrainAck, PoolWork)


class LocalPort:
    """
    Forwards messages between control and the mesh.

    :param node: the mesh node of this process
    :param pair: connection to control
    :param clock: time source
    :param period_ms: time between two membership reports
    """

    __slots__ = ('_clock', '_node', '_pair', '_period_ms', '_timer')

    def __init__(
        self, node: MeshNode, pair: LocalPair, clock: Clock, period_ms: int
    ) -> None:
        self._node = node
        self._pair = pair
        self._clock = clock
        self._period_ms = period_ms
        self._timer: Timer | None = None
        for message_type in FORWARDED_TYPES:
            node.subscribe(message_type, self._forward)

    @classmethod
    def from_config(
        cls, config: Config, node: MeshNode, clock: Clock, reactor: Any
    ) -> 'LocalPort':
        """Return a port configured by the settings."""
        pair = NngPair(reactor, config.read(LOCAL_PORT), listens=True)
        return cls(node, pair, clock, config.read(HEARTBEAT_PERIOD))

    async def start(self) -> None:
        """Accept the connection of control, and start the reports."""
        self._pair.start(self._receive)
        self._report_state()

    async def stop(self) -> None:
        """Close the connection, upon which control gives up its leases."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._pair.stop()

    def _report_state(self) -> None:
        self._timer = self._clock.call_later(
            self._period_ms, self._report_state
        )
        view = self._node.view
        state = EntryState(
            own=self._node.info,
            live=list(view.live().values()),
            not_gone=list(view.not_gone().values()),
        )
        self._pair.send(encode_local(state))

    def _forward(self, sender: InstanceInfo, message: Message) -> None:
        self._pair.send(encode_local(Received(sender=sender, message=message)))

    def _receive(self, wire: bytes) -> None:
        try:
            local = decode_local(wire)
        except WireError as error:
            logger.warning('{0}', error)
            return
        if isinstance(local, SendToAll):
            self._node.broadcast(local.message)
            self._node.send_to(self._node.info.name, local.message)
