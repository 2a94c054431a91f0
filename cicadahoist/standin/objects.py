"""State of a store: versioned objects, rate limits and injected faults."""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import (
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.outside.store import ABSENT, Stored
from cicadahoist.registry import Registry
from cicadahoist.standin.bucket import TokenBucket
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.timing import fire_after

MAX_OBJECT_BYTES = 1_048_576
READS_PER_S = 2000
WRITES_PER_S = 400
WRITE_KINDS = frozenset(('write', 'remove'))


Waiters = set['Deferred[bool]']


class StoreFaults(msgspec.Struct, kw_only=True):
    """
    Active faults of a store.

    :param outage: whether every call is refused before it takes effect
    :param delay_ms: time in ms before a call takes effect
    :param lose_next: number of next writes whose answers are lost
    :param lose_share: share of writes whose answers are lost, 0 to 1
    :param drop_share: share of calls that are lost without effect, 0 to 1
    :param conflict_share: share of updates before which another writer writes
        the same content again, which raises the version, 0 to 1
    """

    outage: bool = False
    delay_ms: int = 0
    lose_next: int = 0
    lose_share: float = 0
    drop_share: float = 0
    conflict_share: float = 0


class ObjectModel:
    """
    State of a store, shared by the HTTP stand-in and the in-memory store.

    Versions start at 1 and rise with each write of a name, also across
    removals.

    :param seed: seed of the random choice of affected calls
    :param writes_per_s: rate limit of writes, 0 for none
    :param reads_per_s: rate limit of reads, lists and watches, 0 for none
    """

    __slots__ = (
        '_object_by_name',
        '_random',
        '_read_bucket',
        '_removed_version_by_name',
        '_waiters_by_name',
        '_write_bucket',
        'calls',
        'faults',
    )

    def __init__(
        self,
        seed: int = 0,
        writes_per_s: int = 0,
        reads_per_s: int = 0,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self.faults = StoreFaults()
        self._object_by_name: dict[str, Stored] = {}
        self._removed_version_by_name: dict[str, int] = {}
        self._waiters_by_name: dict[str, Waiters] = {}
        self._random = random.Random(seed)
        self._read_bucket = TokenBucket(reads_per_s)
        self._write_bucket = TokenBucket(writes_per_s)

    def admit(self, kind: str, now_ms: int) -> None:
        """
        Count a call, and refuse it by rate limit or active fault.

        :param kind: ``read``, ``write``, ``remove``, ``names`` or ``watch``
        :raises StoreBusyError: the rate limit is exceeded
        :raises StoreUnavailableError: the store has an outage, or the call is
            lost
        """
        self.calls[kind] += 1
        bucket = (
            self._write_bucket if kind in WRITE_KINDS else self._read_bucket
        )
        if not bucket.try_consume(now_ms):
            self.calls['refused'] += 1
            raise StoreBusyError('rate limit', remedy='send fewer calls')
        if self.faults.outage or self._draw_fault(self.faults.drop_share):
            raise StoreUnavailableError('outage', remedy='wait for the store')

    def set_fault(self, fault: Fault) -> None:
        """
        Inject a fault, or end all faults.

        :raises ConfigError: the store has no such fault
        """
        STORE_FAULTS.get(fault.kind)(self, fault)

    def get(self, name: str) -> Stored | None:
        """Return an object, or ``None`` if it is absent."""
        return self._object_by_name.get(name)

    def put(self, name: str, payload: bytes, expected: int) -> int:
        """
        Write an object and return its new version.

        :raises StoreError: the object is too large
        :raises VersionConflictError: the object has another version
        """
        if len(payload) > MAX_OBJECT_BYTES:
            raise StoreError(f'{name} is too large', remedy='split it')
        if expected and self._draw_fault(self.faults.conflict_share):
            self._write_concurrently(name)
        self._check_version(name, expected)
        version = 1 + (expected or self._removed_version_by_name.pop(name, 0))
        self._object_by_name[name] = Stored(name, version, payload)
        self._notify(name)
        return version

    def remove(self, name: str, expected: int) -> None:
        """
        Remove an object; an absent one counts as removed.

        :raises VersionConflictError: the object has another version
        """
        if name not in self._object_by_name:
            return
        self._check_version(name, expected)
        self._removed_version_by_name[name] = expected
        self._object_by_name.pop(name)

    def list_versions(self, prefix: str) -> dict[str, int]:
        """Return versions by name below a prefix."""
        return {
            name: stored.version
            for name, stored in sorted(self._object_by_name.items())
            if name.startswith(prefix)
        }

    async def wait_for_newer(
        self, clock: Clock, name: str, after: int, wait_ms: int
    ) -> Stored | None:
        """
        Wait until the version of an object is above ``after``.

        :param wait_ms: longest wait in ms
        :return: the object, or ``None`` if the wait expired
        """
        end_ms = clock.now_ms() + wait_ms
        while not self._is_newer(name, after):
            remaining_ms = end_ms - clock.now_ms()
            if remaining_ms <= 0 or not await self._wait_for_change(
                clock, name, remaining_ms
            ):
                return None
        return self.get(name)

    def loses_answer(self) -> bool:
        """
        Return whether a fault loses the answer of a write that took effect.

        Each call uses up one of the ``lose_next`` answers.
        """
        if self.faults.lose_next:
            self.faults.lose_next -= 1
            return True
        return self._draw_fault(self.faults.lose_share)

    def _is_newer(self, name: str, after: int) -> bool:
        stored = self._object_by_name.get(name)
        return stored is not None and stored.version > after

    async def _wait_for_change(
        self, clock: Clock, name: str, wait_ms: int
    ) -> bool:
        waiters = self._waiters_by_name.setdefault(name, set())
        change: Deferred[bool] = Deferred()
        waiters.add(change)
        fire_after(change, clock, wait_ms, outcome=False)
        change.addBoth(_discard_waiter, change, waiters)
        return await change

    def _write_concurrently(self, name: str) -> None:
        stored = self._object_by_name.get(name)
        if stored is not None:
            self._object_by_name[name] = Stored(
                name, stored.version + 1, stored.payload
            )
            self._notify(name)

    def _draw_fault(self, share: float) -> bool:
        return bool(share) and self._random.random() < share

    def _check_version(self, name: str, expected: int) -> None:
        stored = self._object_by_name.get(name)
        version = stored.version if stored else ABSENT
        if version != expected:
            raise VersionConflictError(
                f'{name} has version {version}, not {expected}',
                remedy='read the object again and decide anew',
            )

    def _notify(self, name: str) -> None:
        for change in tuple(self._waiters_by_name.pop(name, ())):
            change.callback(True)


STORE_FAULTS: Registry[Callable[[ObjectModel, Fault], None]] = Registry(
    'store fault'
)


@STORE_FAULTS.register('none')
def end_faults(model: ObjectModel, fault: Fault) -> None:
    """End all faults."""
    model.faults = StoreFaults()


@STORE_FAULTS.register('outage')
def begin_outage(model: ObjectModel, fault: Fault) -> None:
    """Refuse every call before it takes effect."""
    model.faults.outage = True


@STORE_FAULTS.register('slow')
def delay_calls(model: ObjectModel, fault: Fault) -> None:
    """Delay the effect of every call by ``delay_ms``."""
    model.faults.delay_ms = fault.delay_ms


@STORE_FAULTS.register('lose-answers')
def lose_answers(model: ObjectModel, fault: Fault) -> None:
    """Lose the answers of ``count`` writes, or of a ``share`` of them."""
    model.faults.lose_next = fault.count
    model.faults.lose_share = fault.share


@STORE_FAULTS.register('drop-calls')
def drop_calls(model: ObjectModel, fault: Fault) -> None:
    """Lose a ``share`` of all calls before they take effect."""
    model.faults.drop_share = fault.share


@STORE_FAULTS.register('conflicts')
def conflict_with_writes(model: ObjectModel, fault: Fault) -> None:
    """Write an object anew just before a ``share`` of all updates."""
    model.faults.conflict_share = fault.share


def _discard_waiter(
    result: Any, change: 'Deferred[bool]', waiters: Waiters
) -> Any:
    waiters.discard(change)
    return result
