"""Opens connections to targets, directly or through peers."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.policy.paths.relay_ranking import RankedPeer, RelayRanking
from cicadahoist.policy.paths.target_path import CONNECT_TIMEOUT_MS, PathFailure
from cicadahoist.policy.paths.target_paths import (
    RELAY_DELAY_MS,
    Opening,
    TargetPaths,
)
from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.path_race import PathRace
from cicadahoist.serving.relay_client import RelayError
from cicadahoist.serving.shared_calls import SharedCalls

logger = get_logger(__name__)

# Peers that are asked for one connection while there is reason to believe that
# another one can open it.
MAX_PEERS = 3
# No further peer is asked after this time, so that a request is not held.
MAX_ASKING_MS = 300
# A single peer may be cut off together with this instance.
CONFIRMING_COUNT = 2
# Refusals that show nothing of a target, as the peer did not ask it.
_UNANSWERED = frozenset(
    (
        RelayRefusal.busy,
        RelayRefusal.leaving,
        RelayRefusal.peer_unreachable,
    )
)
# A connection that is given up this late shows that the process was paused.
PROCESS_PAUSE_MS = 100


class Relays(Protocol):
    """Opens connections to targets through peers."""

    def list_peers(self, now_ms: int) -> Iterable[RankedPeer]:
        """Return the peers that open connections for others."""

    async def connect(
        self,
        peer: str,
        listing: Listing,
        build: Callable[[], TargetConnection],
    ) -> TargetConnection:
        """
        Open a connection to a target through a peer.

        :raises NotSentError: the peer opened no connection
        """


class Connector:
    """
    Opens new connections to targets over the paths that work.

    :param reactor: the twisted reactor
    :param clock: clock of the process
    :param paths: what is known of the paths
    """

    __slots__ = (
        '_clock',
        '_paths',
        '_ranking',
        '_reactor',
        '_relay_trials',
        'on_spare',
        'relays',
    )

    def __init__(self, reactor: Any, clock: Clock, paths: TargetPaths) -> None:
        self._reactor = reactor
        self._clock = clock
        self._paths = paths
        self._ranking = RelayRanking()
        self._relay_trials: SharedCalls[TargetConnection] = SharedCalls()
        # Called with a direct connection that was opened too late for its use.
        self.on_spare: Callable[[Listing, TargetConnection], None] = _close
        # Without it, connections are direct only.
        self.relays: Relays | None = None

    async def connect(self, listing: Listing) -> TargetConnection:
        """
        Open a connection over the path that is known or found to work.

        :raises NotSentError: no path to the target works
        """
        now_ms = self._clock.now_ms()
        opening = self._paths.choose_opening(listing.name, now_ms)
        if opening is Opening.direct:
            return await self.race(listing)
        if opening is Opening.none:
            raise NotSentError(
                f'{listing.name} at {listing.address}: no path a moment ago',
                remedy='send it to another target',
            )
        return await self._connect_relayed(listing)

    def probe(self, listing: Listing) -> None:
        """Try a direct path through which no connection is awaited."""
        probe = Deferred.fromCoroutine(self.connect_directly(listing))
        probe.addCallbacks(partial(self.on_spare, listing), _ignore_unreached)

    async def race(self, listing: Listing) -> TargetConnection:
        """
        Open a connection directly, and through a peer if that takes long.

        :raises NotSentError: neither path works
        """
        began_ms = self._clock.now_ms()
        # An instance that is cut off is likely to need the peer.
        is_cut_off = self._paths.is_cut_off(began_ms, counts_crashed=True)
        race = PathRace(
            self._clock,
            0 if is_cut_off else RELAY_DELAY_MS,
            lambda: Deferred.fromCoroutine(self.connect_directly(listing)),
            lambda: Deferred.fromCoroutine(self._connect_relayed(listing)),
        )
        race.on_late = partial(self.on_spare, listing)
        race.on_overtaken = partial(
            self._record_overtaken, listing.name, began_ms
        )
        return await race.run()

    async def connect_directly(self, listing: Listing) -> TargetConnection:
        """
        Open a direct connection.

        :raises NotSentError: the target accepted no connection
        """
        began_ms = self._clock.now_ms()
        self._paths.record_direct_start(listing.name, began_ms)
        host, port = listing.endpoint
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        factory: Any = Factory.forProtocol(
            lambda: TargetConnection(self._clock)
        )
        factory.noisy = False
        try:
            connection: TargetConnection = await endpoint.connect(factory)
        except Exception as error:
            self._record_failure(listing.name, error, began_ms)
            raise NotSentError(
                f'{listing.name} at {listing.address}: {error!r}',
                remedy='send it to another target',
            ) from error
        self._paths.record_heard(
            listing.name, self._clock.now_ms(), is_new=True
        )
        return connection

    def list_sound_peers(self) -> set[str]:
        """Return the peers that reach targets, as far as is known."""
        if self.relays is None:
            return set()
        return {
            peer.name
            for peer in self.relays.list_peers(self._clock.now_ms())
            if not peer.is_cut_off
        }

    def _record_failure(
        self, target: str, error: Exception, began_ms: int
    ) -> None:
        failure = PathFailure.hanging
        if isinstance(error, ConnectionRefusedError):
            failure = PathFailure.refused
        took_ms = self._clock.now_ms() - began_ms
        if took_ms < CONNECT_TIMEOUT_MS + PROCESS_PAUSE_MS:
            self._paths.record_direct_failure(target, failure, began_ms)

    def _record_overtaken(self, target: str, began_ms: int) -> None:
        """Record a direct attempt that a relayed one has overtaken."""
        if self._clock.now_ms() - began_ms >= RELAY_DELAY_MS:
            self._paths.record_direct_failure(
                target, PathFailure.hanging, began_ms
            )

    async def _connect_relayed(self, listing: Listing) -> TargetConnection:
        """
        Open a connection through a peer.

        While it is not known whether a peer reaches the target, there is one
        attempt at a time.
        """
        if self._paths.get(listing.name).is_relayable:
            return await self._try_peers(listing)
        connection = await self._relay_trials.run(
            listing.name, partial(self._try_relay, listing)
        )
        if connection is not None:
            return connection
        if self._paths.get(listing.name).is_relayable:
            return await self._try_peers(listing)
        raise _make_unreached_error(listing)

    async def _try_relay(self, listing: Listing) -> TargetConnection:
        if self._paths.may_try_relay(listing.name, self._clock.now_ms()):
            return await self._try_peers(listing)
        raise _make_unreached_error(listing)

    async def _try_peers(self, listing: Listing) -> TargetConnection:
        began_ms = self._clock.now_ms()
        was_relayable = self._paths.get(listing.name).is_relayable
        ranked = self._rank_peers(began_ms)
        refusals: list[RelayRefusal | None] = []
        for number, peer in enumerate(ranked):
            if number and not self._may_ask_on(
                began_ms, was_relayable=was_relayable
            ):
                break
            try:
                return await self._connect_through(listing, peer)
            except NotSentError as error:
                refusals.append(_get_refusal(error))
        self._paths.record_relay_failure(
            listing.name,
            self._clock.now_ms(),
            is_refused=_has_crashed(refusals, len(ranked)),
        )
        raise _make_unreached_error(listing)

    def _rank_peers(self, now_ms: int) -> list[str]:
        """Return the peers to ask; one of them is of another zone, if any."""
        if self.relays is None:
            return []
        peers = list(self.relays.list_peers(now_ms))
        ranked = self._ranking.rank(peers, now_ms)
        asked = ranked[:MAX_PEERS]
        near = {peer.name for peer in peers if peer.is_near}
        far = [name for name in ranked if name not in near]
        if far and near.issuperset(asked):
            asked[-1] = far[0]
        return asked

    def _may_ask_on(self, began_ms: int, *, was_relayable: bool) -> bool:
        """Return whether another peer may succeed, and soon enough."""
        now_ms = self._clock.now_ms()
        if now_ms - began_ms >= MAX_ASKING_MS:
            return False
        return was_relayable or self._paths.is_cut_off(
            now_ms, counts_crashed=True
        )

    async def _connect_through(
        self, listing: Listing, peer: str
    ) -> TargetConnection:
        """
        Open a connection through a peer.

        :raises NotSentError: it opened none
        """
        if self.relays is None:
            raise _make_unreached_error(listing)
        try:
            connection = await self.relays.connect(
                peer,
                listing,
                partial(TargetConnection, self._clock, peer),
            )
        except NotSentError as error:
            logger.bind(target=listing.name, peer=peer).debug('{0}', error)
            self._ranking.record_failure(peer, self._clock.now_ms())
            raise
        self._ranking.record_success(peer)
        self._paths.record_relay_open(listing.name)
        return connection


def _has_crashed(refusals: list[RelayRefusal | None], peer_count: int) -> bool:
    """
    Return whether peers show that a target has crashed.

    :param refusals: why each peer that was asked opened no connection
    :param peer_count: number of peers that can be asked
    """
    answers = [one for one in refusals if one not in _UNANSWERED]
    if any(one is not RelayRefusal.target_refused for one in answers):
        return False
    return 0 < min(CONFIRMING_COUNT, peer_count) <= len(answers)


def _get_refusal(error: NotSentError) -> RelayRefusal | None:
    """Return why a peer opened no connection, none if that is not known."""
    return error.refusal if isinstance(error, RelayError) else None


def _make_unreached_error(listing: Listing) -> NotSentError:
    return NotSentError(
        f'{listing.name} at {listing.address}: no peer reaches it',
        remedy='send it to another target',
    )


def _ignore_unreached(failure: Any) -> None:
    """Let the paths, which have recorded it, decide about a failed probe."""
    failure.trap(NotSentError)


def _close(listing: Listing, connection: TargetConnection) -> None:
    connection.close()
