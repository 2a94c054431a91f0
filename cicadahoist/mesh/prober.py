"""Chooses addresses of instances that may run but are not heard."""

from collections import deque
from collections.abc import Collection, Iterable

PROBES_PER_ROUND = 4
MAX_ADDRESSES = 512


class Prober:
    """
    Chooses addresses to probe in rotation.

    :param own_address: address of this process, which is never chosen
    :param seeds: addresses from the settings, which are never dropped
    """

    __slots__ = ('_found', '_own_address', '_seeds')

    def __init__(self, own_address: str, seeds: Iterable[str]) -> None:
        self._own_address = own_address
        self._seeds = deque(dict.fromkeys(seeds))
        self._found: deque[str] = deque(maxlen=MAX_ADDRESSES)

    def add(self, address: str) -> None:
        """Add an address; the oldest gives way beyond ``MAX_ADDRESSES``."""
        if address not in self._found and address not in self._seeds:
            self._found.append(address)

    def choose_addresses(self, heard: Collection[str]) -> list[str]:
        """
        Return the addresses to probe in this round.

        :param heard: addresses of live instances, which are not probed
        """
        chosen: list[str] = []
        for addresses in (self._seeds, self._found):
            chosen.extend(self._rotate(addresses, heard))
        return chosen

    def _rotate(
        self, addresses: deque[str], heard: Collection[str]
    ) -> list[str]:
        absent = [
            address
            for address in addresses
            if address != self._own_address and address not in heard
        ]
        chosen = absent[:PROBES_PER_ROUND]
        for address in chosen:
            # Probed addresses move to the end of the rotation.
            addresses.remove(address)
            addresses.append(address)
        return chosen
