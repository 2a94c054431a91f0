"""What is known of other instances as relays to targets."""

from collections.abc import Callable, Iterable

import msgspec


class RelayAddress(msgspec.Struct, frozen=True):
    """
    Where an instance relays connections.

    :param token: shown to the instance with each request
    """

    host: str
    port: int
    token: str
    zone: str


class RelayState(msgspec.Struct, array_like=True, frozen=True):
    """
    What an instance tells its peers about itself as a relay.

    :param is_accepting: whether it opens connections for peers
    :param is_cut_off: whether it reaches no target itself
    """

    is_accepting: bool = False
    is_cut_off: bool = False


class RelayPeers:
    """Addresses of the relays of other instances, and their latest states."""

    __slots__ = ('_addresses_by_peer', '_states_by_peer', 'is_accepting')

    def __init__(self) -> None:
        self._addresses_by_peer: dict[str, RelayAddress] = {}
        self._states_by_peer: dict[str, RelayState] = {}
        # Returns whether this instance opens connections for peers.
        self.is_accepting: Callable[[], bool] = bool

    def set_addresses(self, addresses_by_peer: dict[str, RelayAddress]) -> None:
        """Replace the addresses of all peers."""
        self._addresses_by_peer = addresses_by_peer
        for peer in self._states_by_peer.keys() - addresses_by_peer.keys():
            self._states_by_peer.pop(peer)

    def record_state(self, peer: str, state: RelayState) -> None:
        """Record what a peer has told about itself."""
        self._states_by_peer[peer] = state

    def get_address(self, peer: str) -> RelayAddress | None:
        """Return the address of a relay, or none."""
        return self._addresses_by_peer.get(peer)

    def list_addresses(self) -> Iterable[tuple[str, RelayAddress]]:
        """Return the names and addresses of all relays."""
        return self._addresses_by_peer.items()

    def get_state(self, peer: str) -> RelayState:
        """Return what a peer told last."""
        return self._states_by_peer.get(peer, RelayState())
