"""Relays messages between zones through their gateways."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from cicadahoist.mesh.outbox import Outbox
from cicadahoist.mesh.view import View
from cicadahoist.messages import InstanceInfo, Message, Relayed

MAX_SEEN = 4096

# Remaining hops of a relayed message, by its next recipients.
TO_GATEWAYS = 2
TO_OTHER_ZONE = 1
TO_MEMBERS = 0


class Relay:
    """
    Sends, forwards and deduplicates the relayed messages of one process.

    Both gateways of a zone forward the same message for redundancy, so each
    instance drops the copies that it has already received.

    :param view: the live instances
    :param outbox: queues the forwarded messages
    :param deliver: called with the origin and each message for this process
    """

    __slots__ = ('_deliver', '_last_number', '_outbox', '_seen', '_view')

    def __init__(
        self,
        view: View,
        outbox: Outbox,
        deliver: Callable[[InstanceInfo, Message], None],
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._deliver = deliver
        self._last_number = 0
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()

    def send(self, message: Message, recipient: str) -> None:
        """
        Send a message to other zones.

        :param message: the message
        :param recipient: name of one instance, or empty for all instances
        """
        self._last_number += 1
        relayed = Relayed(
            origin=self._view.info,
            number=self._last_number,
            recipient=recipient,
            hops=TO_GATEWAYS,
            message=message,
        )
        self._forward_to_zones(relayed)
        for name in self._view.choose_gateways():
            if name != self._view.info.name:
                self._outbox.put(name, relayed)

    def receive(self, relayed: Relayed) -> None:
        """Forward a message, and deliver it if it is for this process."""
        if relayed.hops == TO_GATEWAYS:
            self._forward_to_zones(relayed)
        elif self._record_if_new(relayed):
            if relayed.hops == TO_OTHER_ZONE:
                self._forward_to_members(relayed)
            if relayed.recipient in {'', self._view.info.name}:
                self._deliver(relayed.origin, relayed.message)

    def _forward_to_zones(self, relayed: Relayed) -> None:
        outward = msgspec.structs.replace(relayed, hops=TO_OTHER_ZONE)
        names = [info.name for info in self._view.list_linked_gateways()]
        self._outbox.put_all(names, outward)

    def _forward_to_members(self, relayed: Relayed) -> None:
        inward = msgspec.structs.replace(relayed, hops=TO_MEMBERS)
        for name in self._view.zone_peers():
            if relayed.recipient in {'', name}:
                self._outbox.put(name, inward)

    def _record_if_new(self, relayed: Relayed) -> bool:
        key = (relayed.origin.incarnation, relayed.number)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        return True
