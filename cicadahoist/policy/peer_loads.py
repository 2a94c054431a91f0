"""Load of other instances at engines."""

import msgspec

PEER_LOAD_TTL_MS = 1500


class InFlightLoad(msgspec.Struct, array_like=True):
    """
    Load that requests in flight put on one engine.

    :param prefill_tokens: prompt tokens that wait for prefill
    :param run_count: requests
    :param kv_tokens: KV cache tokens of the requests
    """

    prefill_tokens: int = 0
    run_count: int = 0
    kv_tokens: int = 0


class PeerLoad:
    """
    Load of one peer by engine.

    :param received_ms: when its message arrived
    """

    __slots__ = ('load_by_engine', 'received_ms')

    def __init__(
        self, load_by_engine: dict[str, InFlightLoad], received_ms: int
    ) -> None:
        self.load_by_engine = load_by_engine
        self.received_ms = received_ms


class PeerLoads:
    """Loads of all peers, summed by engine."""

    __slots__ = ('_load_by_peer', '_total_by_engine')

    def __init__(self) -> None:
        self._load_by_peer: dict[str, PeerLoad] = {}
        self._total_by_engine: dict[str, InFlightLoad] = {}

    def apply(self, peer: str, load: PeerLoad) -> None:
        """Replace the load of a peer, touching only the engines it changes."""
        last = self._load_by_peer.get(peer)
        last_by_engine = last.load_by_engine if last else {}
        self._load_by_peer[peer] = load
        for engine, in_flight in load.load_by_engine.items():
            known = last_by_engine.get(engine, _NO_LOAD)
            if in_flight != known:
                self._add(engine, known, -1)
                self._add(engine, in_flight, 1)
        for engine in last_by_engine.keys() - load.load_by_engine.keys():
            self._add(engine, last_by_engine[engine], -1)

    def drop(self, peer: str) -> None:
        """Drop the load of a peer, if it has any."""
        load = self._load_by_peer.pop(peer, None)
        if load is None:
            return
        for engine, in_flight in load.load_by_engine.items():
            self._add(engine, in_flight, -1)

    def list_totals(self) -> dict[str, InFlightLoad]:
        """Return the load of all peers by engine."""
        return dict(self._total_by_engine)

    def get_total(self, engine: str) -> InFlightLoad:
        """Return the load of all peers at an engine."""
        return self._total_by_engine.get(engine, _NO_LOAD)

    def compute_age_ms(self, now_ms: int) -> float:
        """Return the mean time since the loads of peers arrived."""
        if not self._load_by_peer:
            return 0
        received_ms = sum(
            load.received_ms for load in self._load_by_peer.values()
        )
        return max(0, now_ms - received_ms / len(self._load_by_peer))

    def drop_expired(self, now_ms: int) -> None:
        """Drop the loads of peers that have sent none for a while."""
        for peer, load in list(self._load_by_peer.items()):
            if now_ms - load.received_ms > PEER_LOAD_TTL_MS:
                self.drop(peer)

    def _add(self, engine: str, load: InFlightLoad, sign: int) -> None:
        total = self.get_total(engine)
        summed = InFlightLoad(
            total.prefill_tokens + sign * load.prefill_tokens,
            total.run_count + sign * load.run_count,
            total.kv_tokens + sign * load.kv_tokens,
        )
        if summed == _NO_LOAD:
            self._total_by_engine.pop(engine, None)
        else:
            self._total_by_engine[engine] = summed


_NO_LOAD = InFlightLoad()
