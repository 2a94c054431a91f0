"""Removes expired claims from the store."""

from collections.abc import Callable

from cicadahoist.clock import MS_PER_S, Clock, wall_ms
from cicadahoist.errors import StoreError, WireError
from cicadahoist.log import get_logger
from cicadahoist.mesh.background import Background
from cicadahoist.outside.store import Store
from cicadahoist.protocol.claim_records import CLAIMS_PREFIX, decode_claim

logger = get_logger(__name__)

CLAIM_TTL_MS = 172_800_000
SWEEP_PERIOD_MS = 600_000
MAX_READS_PER_S = 20


class ClaimSweeper:
    """
    Reads claims at a limited rate and removes those that have expired.

    A claim is read when it is first listed and again when it may have
    expired. Removals are conditional on the version, so two sweepers at the
    same time do no harm.

    :param store: the platform's store
    :param clock: clock of the process
    :param is_holder: returns whether this process holds the lease for sweeping
    :param read_wall_ms: reads the wall clock, in ms since the Unix epoch
    """

    __slots__ = (
        '_clock',
        '_expires_ms_by_name',
        '_is_holder',
        '_read_wall_ms',
        '_store',
        '_work',
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        is_holder: Callable[[int], bool],
        read_wall_ms: Callable[[], int] = wall_ms,
    ) -> None:
        self._store = store
        self._clock = clock
        self._is_holder = is_holder
        self._read_wall_ms = read_wall_ms
        self._expires_ms_by_name: dict[str, int] = {}
        self._work = Background(clock, self._step)

    async def start(self) -> None:
        """Start sweeping periodically."""
        self._work.start()

    async def stop(self) -> None:
        """Stop sweeping."""
        self._work.stop()

    async def sweep(self) -> None:
        """
        Check all claims once.

        :raises StoreError: the store did not respond
        """
        versions = await self._store.list_versions(CLAIMS_PREFIX)
        self._discard_absent(versions)
        for name in versions:
            if not self._is_holder(self._clock.now_ms()):
                return
            due_ms = self._expires_ms_by_name.get(name, 0)
            if due_ms <= self._read_wall_ms():
                await self._check_claim(name)
                await self._clock.sleep(MS_PER_S / MAX_READS_PER_S)

    async def _step(self) -> None:
        await self._clock.sleep(SWEEP_PERIOD_MS)
        if not self._is_holder(self._clock.now_ms()):
            return
        try:
            await self.sweep()
        except StoreError as error:
            logger.debug(
                'claim sweep aborted until the next period: {0}', error
            )

    async def _check_claim(self, name: str) -> None:
        stored = await self._store.read(name)
        if stored is None:
            return
        try:
            created_ms = decode_claim(stored.payload).created_ms
        except WireError as error:
            logger.warning('claim {0} cannot be decoded: {1}', name, error)
            return
        expires_ms = created_ms + CLAIM_TTL_MS
        self._expires_ms_by_name[name] = expires_ms
        if expires_ms <= self._read_wall_ms():
            await self._store.remove(name, stored.version)

    def _discard_absent(self, versions: dict[str, int]) -> None:
        for name in self._expires_ms_by_name.keys() - versions.keys():
            self._expires_ms_by_name.pop(name)
