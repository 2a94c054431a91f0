"""Decides which connections are opened for other instances."""

from hmac import compare_digest

from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.relay_messages import VERSION, RelayRequest

# Relayed connections at once. Each takes two descriptors.
MAX_RELAYED = 256
# Connections of peers at once, including those without a request yet.
MAX_OPEN = 320


class RelayAdmission:
    """
    Admits requests of instances that know the token of this one.

    :param token: token that this instance has told its peers
    :param directory: targets that this instance lists
    :param max_relayed: relayed connections at once
    :param max_open: connections of peers at once
    """

    __slots__ = (
        '_directory',
        '_token',
        'is_leaving',
        'max_open',
        'max_relayed',
        'relayed_count',
    )

    def __init__(
        self,
        token: str,
        directory: TargetDirectory,
        max_relayed: int = MAX_RELAYED,
        max_open: int = MAX_OPEN,
    ) -> None:
        self._token = token
        self._directory = directory
        self.max_relayed = max_relayed
        self.max_open = max_open
        self.relayed_count = 0
        self.is_leaving = False

    def admit(self, request: RelayRequest) -> Listing | RelayRefusal:
        """
        Return the target to connect to, or why there is no connection.

        The process that the peer names has to be listed here, and its address
        is the one listed here: nobody can have another one connected to.
        """
        if not self._is_known(request):
            return RelayRefusal.denied
        listing = self._directory.get(request.target)
        if listing is None or listing.started_ms != request.started_ms:
            return RelayRefusal.denied
        if self._directory.has_departed(listing):
            return RelayRefusal.denied
        if self.is_leaving:
            return RelayRefusal.leaving
        if self.relayed_count >= self.max_relayed:
            return RelayRefusal.busy
        return listing

    def _is_known(self, request: RelayRequest) -> bool:
        is_own_token = compare_digest(
            request.token.encode(), self._token.encode()
        )
        return is_own_token and request.version == VERSION
