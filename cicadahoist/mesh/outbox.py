"""Queues messages and sends them in batches."""

from collections.abc import Iterable

from cicadahoist.clock import Clock, Timer
from cicadahoist.mesh.peers import address_of
from cicadahoist.mesh.transport import Transport
from cicadahoist.mesh.view import View
from cicadahoist.messages import (
    Batch,
    Blame,
    DrainAck,
    DrainNotice,
    Message,
    Quarantined,
    Relayed,
    SuspectRun,
    TableDelta,
    TableWanted,
    UsageCopied,
    UsageCount,
    encode_batch,
)

Outgoing = Message | Relayed

COALESCE_MS = 5

_URGENT = (
    Blame,
    DrainAck,
    DrainNotice,
    Quarantined,
    SuspectRun,
    TableDelta,
    TableWanted,
    UsageCopied,
    UsageCount,
)


class Outbox:
    """
    Messages queued for the next batch to each peer.

    Urgent messages do not wait for the next round; all messages queued
    within ``COALESCE_MS`` of an urgent one are sent together.

    :param view: the live instances
    :param transport: carries the batches
    :param clock: time source
    """

    __slots__ = (
        '_clock',
        '_sequence',
        '_timer',
        '_transport',
        '_view',
        '_waiting_by_name',
    )

    def __init__(self, view: View, transport: Transport, clock: Clock) -> None:
        self._view = view
        self._transport = transport
        self._clock = clock
        self._waiting_by_name: dict[str, list[Outgoing]] = {}
        self._sequence = 0
        self._timer: Timer | None = None

    def put(self, name: str, message: Outgoing) -> None:
        """Queue a message for an instance."""
        self._waiting_by_name.setdefault(name, []).append(message)
        if _is_urgent(message) and self._timer is None:
            self._timer = self._clock.call_later(COALESCE_MS, self.flush)

    def put_all(self, names: Iterable[str], message: Outgoing) -> None:
        """Queue a message for several instances."""
        for name in names:
            self.put(name, message)

    def flush(self) -> None:
        """Send all queued messages."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        for name in list(self._waiting_by_name):
            self.send(name, [])

    def send(self, name: str, messages: list[Outgoing]) -> None:
        """Send the queued messages of an instance, then further messages."""
        waiting = self._waiting_by_name.pop(name, [])
        info = self._view.find(name)
        if info is not None:
            self._post(address_of(info), name, [*waiting, *messages])

    def probe(self, address: str, messages: list[Outgoing]) -> None:
        """
        Send messages to an address over a new connection.

        The old connection is closed first: after a network cut it would
        wait long before its next resend.
        """
        self._transport.close_connection(address)
        self._post(address, '', messages)

    def close(self, address: str) -> None:
        """Close the connection to an address."""
        self._transport.close_connection(address)

    def _post(self, address: str, name: str, messages: list[Outgoing]) -> None:
        self._sequence += 1
        state = self._view.find_batch_state(name)
        batch = Batch(
            sender=self._view.info,
            sequence=self._sequence,
            messages=messages,
            sent_ms=self._clock.now_ms(),
            echo_incarnation='' if state is None else state.incarnation,
            echo_ms=0 if state is None else state.peer_sent_ms,
        )
        self._transport.send(address, encode_batch(batch))


def _is_urgent(message: Outgoing) -> bool:
    if isinstance(message, Relayed):
        return isinstance(message.message, _URGENT)
    return isinstance(message, _URGENT)
