"""Row-level patches of table shards."""

from collections.abc import Iterable

import msgspec

from cicadahoist.table import Row, Shard, row_key

ROW_KINDS = Shard.__struct_fields__


class ShardPatch(msgspec.Struct, frozen=True, kw_only=True):
    """
    Difference between two shard objects.

    :param base: name of the older shard object
    :param changed: rows that were added or changed
    :param removed: keys of the rows that were removed
    """

    base: str
    changed: Shard
    removed: list[str] = []


def make_patch(base: str, old: Shard, new: Shard) -> ShardPatch:
    """
    Return the difference between two shards.

    :param base: name of the store object of the older shard
    :param old: the older shard
    :param new: the newer shard
    """
    old_by_key = _index_by_key(old)
    new_by_key = _index_by_key(new)
    changed = {
        kind: [
            row
            for row in getattr(new, kind)
            if old_by_key.get(row_key(row)) != row
        ]
        for kind in ROW_KINDS
    }
    return ShardPatch(
        base=base,
        changed=Shard(**changed),
        removed=sorted(old_by_key.keys() - new_by_key.keys()),
    )


def apply_patch(old: Shard, patch: ShardPatch) -> Shard:
    """Return the newer shard from the older one and a patch."""
    replaced = {*patch.removed, *_index_by_key(patch.changed)}
    rows = {
        kind: [
            *_drop_rows(getattr(old, kind), replaced),
            *getattr(patch.changed, kind),
        ]
        for kind in ROW_KINDS
    }
    return Shard(**rows)


def _index_by_key(shard: Shard) -> dict[str, Row]:
    return {
        row_key(row): row for kind in ROW_KINDS for row in getattr(shard, kind)
    }


def _drop_rows(rows: Iterable[Row], keys: set[str]) -> list[Row]:
    return [row for row in rows if row_key(row) not in keys]
