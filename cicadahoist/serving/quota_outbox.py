"""Sends messages on quotas; those of one moment share a datagram."""

from collections.abc import Callable
from typing import Any

import msgspec

from cicadahoist.clock import Clock
from cicadahoist.policy.quotas.roster import QuotaRoster
from cicadahoist.serving.quota_messages import (
    QUOTA_MARK,
    Answer,
    Delegation,
    Entry,
    Question,
    QuotaMessage,
    Return,
    codec,
)

# A datagram of this many entries stays below the size of a packet.
MAX_ENTRIES = 20

_FIELD_BY_TYPE: dict[type, str] = {
    Answer: 'answers',
    Delegation: 'delegations',
    Question: 'questions',
    Return: 'returns',
}

Address = tuple[str, int]


class QuotaOutbox:
    """
    Collects entries for each peer until the end of the turn of the event loop.

    :param clock: clock of the process
    :param roster: the instances of the deployment
    """

    __slots__ = (
        '_clock',
        '_entries_by_peer',
        '_roster',
        'address_by_peer',
        'send_datagram',
        'term',
    )

    def __init__(self, clock: Clock, roster: QuotaRoster) -> None:
        self._clock = clock
        self._roster = roster
        # Unique name of this process.
        self.term = ''
        self.address_by_peer: dict[str, Address] = {}
        self._entries_by_peer: dict[str, list[Entry]] = {}
        # Sends a datagram to a peer; the task that has the socket sets it.
        self.send_datagram: Callable[[bytes, Address], None] = _drop

    def learn_address(self, peer: str, address: Address) -> None:
        """Keep the address of a peer that the list does not have yet."""
        self.address_by_peer.setdefault(peer, address)

    def put(self, peer: str, entry: Entry) -> None:
        """Send an entry to a peer, together with others of this moment."""
        entries = self._entries_by_peer.get(peer)
        if entries is None:
            self._entries_by_peer[peer] = [entry]
            self._clock.call_later(0, self._flush, peer)
            return
        entries.append(entry)

    def broadcast(self, **fields: Any) -> None:
        """Send a message with the given fields to all peers."""
        datagram = self._encode(fields)
        for address in self.address_by_peer.values():
            self.send_datagram(datagram, address)

    def _flush(self, peer: str) -> None:
        entries = self._entries_by_peer.pop(peer)
        address = self.address_by_peer.get(peer)
        if address is None:
            return
        for start in range(0, len(entries), MAX_ENTRIES):
            fields: dict[str, list[Entry]] = {}
            for entry in entries[start : start + MAX_ENTRIES]:
                field = _FIELD_BY_TYPE[type(entry)]
                fields.setdefault(field, []).append(entry)
            self.send_datagram(self._encode(fields), address)

    def _encode(self, fields: dict[str, Any]) -> bytes:
        message = QuotaMessage(
            sender=self._roster.instance,
            term=self.term,
            instance_count=self._roster.own_count,
            stamp_ms=self._clock.now_ms(),
        )
        message = msgspec.structs.replace(message, **fields)
        return QUOTA_MARK + codec.encode(message)


def _drop(datagram: bytes, address: Address) -> None:
    """Send nothing: the exchange with peers has not started."""
