"""Addresses that may belong to instances not heard of."""

from collections import deque
from collections.abc import Collection, Iterable

PROBES_PER_ROUND = 4
MAX_ADDRESSES = 512


class Prober:
    """
    Chooses addresses to send a batch to, in turn.

    :param own: address of this process, never chosen
    :param seeds: addresses from settings, never forgotten
    """

    __slots__ = ('_found', '_own', '_seeds')

    def __init__(self, own: str, seeds: Iterable[str]) -> None:
        self._own = own
        self._seeds = deque(dict.fromkeys(seeds))
        self._found: deque[str] = deque(maxlen=MAX_ADDRESSES)

    def add(self, address: str) -> None:
        """Remember an address; the oldest gives way where there are many."""
        if address not in self._found and address not in self._seeds:
            self._found.append(address)

    def choose_addresses(self, heard: Collection[str]) -> list[str]:
        """
        Return the addresses to probe in this round.

        :param heard: addresses of live instances, left out
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
            if address != self._own and address not in heard
        ]
        chosen = absent[:PROBES_PER_ROUND]
        for address in chosen:
            # The last ones probed come last in the next rounds.
            addresses.remove(address)
            addresses.append(address)
        return chosen
