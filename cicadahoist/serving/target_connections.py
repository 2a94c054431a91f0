"""Connections to all targets."""

from enum import Enum
from typing import Any

from twisted.internet.error import ConnectionRefusedError

from cicadahoist.clock import Clock
from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.policy.paths.target_paths import TargetPaths
from cicadahoist.serving.connector import Connector, Relays
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.shared_calls import SharedCalls
from cicadahoist.serving.target_pool import TargetPool

# A direct path that has worked within this time is not tested.
TEST_PERIOD_MS = 300


class Reachability(Enum):
    """
    What a target does with a new connection.

    ``no_answer``: it is frozen or cannot be reached.
    """

    accepted = 'accepted'
    refused = 'refused'
    no_answer = 'no-answer'


class TargetConnections:
    """
    Connections to all targets.

    :param reactor: the twisted reactor
    :param clock: clock of the process
    :param paths: what is known of the paths to the targets
    """

    __slots__ = ('_clock', '_connector', '_pools_by_name', '_tests', 'paths')

    def __init__(
        self, reactor: Any, clock: Clock, paths: TargetPaths | None = None
    ) -> None:
        self._clock = clock
        self.paths = paths or TargetPaths()
        self._connector = Connector(reactor, clock, self.paths)
        self._connector.on_spare = self._keep
        self._pools_by_name: dict[str, TargetPool] = {}
        self._tests: SharedCalls[None] = SharedCalls()

    @property
    def relays(self) -> Relays | None:
        """Opens connections through peers, none for direct ones only."""
        return self._connector.relays

    @relays.setter
    def relays(self, relays: Relays | None) -> None:
        self._connector.relays = relays

    async def open(
        self, listing: Listing, name: str = '', *, is_new: bool = False
    ) -> tuple[TargetConnection, TargetPool]:
        """
        Return an idle or new connection to a target, and its pool.

        :param name: id of the attempt that is to be sent
        :param is_new: whether an idle connection must not be used
        :raises NotSentError: no path to the target works
        """
        pool = self._get_pool(listing)
        path = self.paths.get(listing.name)
        if path.is_bypassed and path.is_probe_due(self._clock.now_ms()):
            self._connector.probe(listing)
        connection = None if is_new else self._acquire(pool, name)
        if connection is None:
            connection = await self._connector.connect(listing)
        if not connection.is_open:
            # Its end has been reported to nobody.
            raise NotSentError(
                f'{listing.name} at {listing.address}: closed before a request',
                remedy='send it to another target',
            )
        return connection, pool

    async def check(self, listing: Listing) -> Reachability:
        """
        Find out whether a target accepts connections.

        A target that only peers reach counts as accepting.
        """
        try:
            connection = await self._connector.race(listing)
        except NotSentError as error:
            if self.paths.get(listing.name).is_refused_to_peers:
                return Reachability.refused
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            is_cut_off = self.paths.is_cut_off(self._clock.now_ms())
            if is_refused and not is_cut_off:
                return Reachability.refused
            return Reachability.no_answer
        connection.close()
        return Reachability.accepted

    async def test_path(
        self, listing: Listing, period_ms: int = TEST_PERIOD_MS
    ) -> None:
        """
        Find out whether the direct path to a target works.

        :param period_ms: age up to which an earlier sign of it is enough
        """
        since_ms = self._clock.now_ms() - period_ms
        path = self.paths.get(listing.name)
        if not path.is_bypassed and not path.has_heard(since_ms):
            await self._tests.run(
                listing.name, lambda: self._test_path(listing)
            )

    def retain(self, names: set[str]) -> None:
        """Close the idle connections to all targets that are not named."""
        for name in list(self._pools_by_name):
            if name not in names:
                self._pools_by_name.pop(name).close()
                self.paths.forget(name)

    async def _test_path(self, listing: Listing) -> None:
        try:
            connection = await self._connector.race(listing)
        except NotSentError:
            # The paths have recorded it.
            return
        self._keep(listing, connection)

    def _get_pool(self, listing: Listing) -> TargetPool:
        pool = self._pools_by_name.get(listing.name)
        if pool is not None and not pool.belongs_to(listing):
            pool.close()
            self.paths.forget(listing.name)
            pool = None
        if pool is None:
            pool = TargetPool(listing, self._record_heard)
            self._pools_by_name[listing.name] = pool
        return pool

    def _acquire(self, pool: TargetPool, name: str) -> TargetConnection | None:
        now_ms = self._clock.now_ms()
        target = pool.listing.name
        if self.paths.may_reuse_direct(target, now_ms):
            connection = pool.acquire(now_ms, name)
            if connection is not None:
                return connection
        if self.paths.get(target).is_bypassed:
            peers = self._connector.list_sound_peers()
            return pool.acquire(now_ms, name, peers)
        return None

    def _keep(self, listing: Listing, connection: TargetConnection) -> None:
        """Keep a connection that nobody waits for any more."""
        pool = self._pools_by_name.get(listing.name)
        if pool is None or not pool.belongs_to(listing):
            connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        pool.release(connection)

    def _record_heard(self, target: str) -> None:
        self.paths.record_heard(target, self._clock.now_ms())
