"""
Reads and commits the operators' table in the platform's store.

Rows are stored in immutable shard objects. The head object names the shards
of a revision, so that one conditional update of the head commits any number of
rows atomically, and a reader of an old head still finds its shards.
"""

import msgspec

from cicadahoist.errors import (
    StoreError,
    StoreUnavailableError,
    TableConflictError,
    VersionConflictError,
)
from cicadahoist.ids import fast_hash, new_nonce
from cicadahoist.log import get_logger
from cicadahoist.outside.store import ABSENT, Store
from cicadahoist.table import (
    HEAD_NAME,
    SHARD_COUNT,
    Head,
    KeyGrant,
    Route,
    Row,
    Rule,
    Shard,
    Table,
    Target,
    Workspace,
    row_key,
)

COMMIT_ATTEMPTS = 8
MAX_COMMIT_NONCES = 64
MAX_RETIRED_SHARDS = 64
SHARD_VERSION = 1

logger = get_logger(__name__)

_decode_head = msgspec.json.Decoder(Head).decode
_decode_shard = msgspec.json.Decoder(Shard).decode


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
    """
    A row to save or remove.

    :param row: the new row, or the row to remove; its ``revision`` is the one
        last read
    :param is_removal: whether the row is removed
    """

    row: Row
    is_removal: bool = False


class TableStore:
    """
    Reads and commits table revisions.

    :param store: the platform's store
    """

    __slots__ = ('_shards_by_name', '_store')

    def __init__(self, store: Store) -> None:
        self._store = store
        self._shards_by_name: dict[str, Shard] = {}

    async def read_head(self) -> tuple[Head, int]:
        """Return the head and its version, an empty head if none exists."""
        stored = await self._store.read(HEAD_NAME)
        if stored is None:
            return Head(), ABSENT
        return _decode_head(stored.payload), stored.version

    async def watch_head(
        self, after: int, wait_ms: int
    ) -> tuple[Head, int] | None:
        """
        Return the next head after a version (long poll).

        :return: none if there was no change within the time
        """
        stored = await self._store.watch(HEAD_NAME, after, wait_ms)
        if stored is None:
            return None
        return _decode_head(stored.payload), stored.version

    async def load(self, head: Head) -> Table:
        """Return the table of a head; shards read before are cached."""
        shards = {}
        for name in head.shards.values():
            shards[name] = await self._read_shard(name)
        self._shards_by_name = shards
        return Table(head.revision, list(shards.values()))

    async def commit(self, changes: list[RowChange]) -> int:
        """
        Commit changes; each row's ``revision`` must be the one last read.

        :return: the table revision that contains the changes
        :raises TableConflictError: another operator saved a row first
        :raises StoreUnavailableError: the store is unavailable
        """
        nonce = new_nonce()
        for _ in range(COMMIT_ATTEMPTS):
            revision = await self._try_commit(changes, nonce)
            if revision:
                return revision
        raise TableConflictError(
            'commits of other operators came first each time',
            remedy='try again',
        )

    async def _try_commit(self, changes: list[RowChange], nonce: str) -> int:
        head, version = await self.read_head()
        if nonce in head.commits:
            return head.revision - (
                len(head.commits) - 1 - head.commits.index(nonce)
            )
        changed = await self._build_changed_shards(head, changes)
        written = await self._write_shards(changed)
        retired = _list_retired(head, written)
        updated = Head(
            revision=head.revision + 1,
            shards={**head.shards, **written},
            commits=[*head.commits, nonce][-MAX_COMMIT_NONCES:],
            retired=retired[-MAX_RETIRED_SHARDS:],
        )
        try:
            await self._store.write(
                HEAD_NAME, msgspec.json.encode(updated), version
            )
        except VersionConflictError:
            await self._remove_shards(list(written.values()))
            return 0
        except StoreUnavailableError:
            # If the write took effect, the next attempt finds the nonce.
            return 0
        await self._remove_shards(retired[:-MAX_RETIRED_SHARDS])
        return updated.revision

    async def _build_changed_shards(
        self, head: Head, changes: list[RowChange]
    ) -> dict[str, Shard]:
        by_shard: dict[str, list[RowChange]] = {}
        for change in changes:
            by_shard.setdefault(compute_shard_number(change.row), []).append(
                change
            )
        changed = {}
        for number, group in by_shard.items():
            shard = Shard()
            current = head.shards.get(number)
            if current is not None:
                shard = await self._read_shard(current)
            changed[number] = _apply_changes(shard, group, head.revision + 1)
        return changed

    async def _write_shards(self, shards: dict[str, Shard]) -> dict[str, str]:
        return {
            number: await self._write_shard(number, shard)
            for number, shard in shards.items()
        }

    async def _remove_shards(self, names: list[str]) -> None:
        """Remove shard objects; a failure only leaves unused objects."""
        for name in names:
            try:
                await self._store.remove(name, SHARD_VERSION)
            except StoreError as error:
                logger.warning('shard {0} not removed: {1}', name, error)

    async def _write_shard(self, number: str, shard: Shard) -> str:
        name = f'table/shards/{number}/{new_nonce()}'
        payload = msgspec.json.encode(shard)
        try:
            await self._store.write(name, payload, ABSENT)
        except StoreUnavailableError:
            # The name is unique to this write; if it exists, that succeeded.
            if await self._store.read(name) is None:
                raise
        return name

    async def _read_shard(self, name: str) -> Shard:
        known = self._shards_by_name.get(name)
        if known is not None:
            return known
        stored = await self._store.read(name)
        if stored is None:
            raise StoreUnavailableError(
                f'shard {name} does not exist', remedy='read the head again'
            )
        shard = _decode_shard(stored.payload)
        self._shards_by_name[name] = shard
        return shard


def compute_shard_number(row: Row) -> str:
    """Return the two-digit number of the shard that holds a row."""
    number = fast_hash(row_key(row)) % SHARD_COUNT
    return f'{number:02d}'


def _list_retired(head: Head, written: dict[str, str]) -> list[str]:
    replaced = [
        head.shards[number] for number in written if number in head.shards
    ]
    return [*head.retired, *replaced]


def _apply_changes(
    shard: Shard, changes: list[RowChange], revision: int
) -> Shard:
    rows: list[Row] = [
        *shard.workspaces,
        *shard.keys,
        *shard.targets,
        *shard.routes,
        *shard.rules,
    ]
    by_key = {row_key(row): row for row in rows}
    for change in changes:
        key = row_key(change.row)
        _check_unchanged(by_key.get(key), change.row)
        if change.is_removal:
            by_key.pop(key, None)
        else:
            by_key[key] = msgspec.structs.replace(change.row, revision=revision)
    return _build_shard(list(by_key.values()))


def _check_unchanged(stored: Row | None, given: Row) -> None:
    stored_revision = stored.revision if stored else 0
    if stored_revision != given.revision:
        raise TableConflictError(
            f'stored: {stored!r}, yours: {given!r}',
            remedy='merge the two and save with the stored revision',
        )


def _build_shard(rows: list[Row]) -> Shard:
    return Shard(
        workspaces=[row for row in rows if isinstance(row, Workspace)],
        keys=[row for row in rows if isinstance(row, KeyGrant)],
        targets=[row for row in rows if isinstance(row, Target)],
        routes=[row for row in rows if isinstance(row, Route)],
        rules=[row for row in rows if isinstance(row, Rule)],
    )
