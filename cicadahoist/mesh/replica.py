"""Table replica of one process, and deltas between its revisions."""

from collections import OrderedDict

import msgspec

from cicadahoist.mesh.shard_patch import ShardPatch, apply_patch, make_patch
from cicadahoist.messages import TableDelta
from cicadahoist.table import Head, Shard, Table

MAX_HEADS = 64
MAX_OLD_SHARDS = 64

ShardsByName = dict[str, Shard]

decode_head = msgspec.json.Decoder(Head).decode
decode_shard = msgspec.json.Decoder(Shard).decode
_decode_patch = msgspec.json.Decoder(ShardPatch).decode
_encode = msgspec.json.Encoder().encode


class Replica:
    """
    The newest table, and the history needed to build deltas for peers.

    Deltas patch shards of recent revisions; the latest ``MAX_HEADS`` heads
    and ``MAX_OLD_SHARDS`` replaced shards are retained for this.
    """

    __slots__ = (
        '_heads_by_revision',
        '_old_shards_by_name',
        '_shards_by_name',
        'head',
        'table',
    )

    def __init__(self) -> None:
        self.head = Head()
        self.table = Table.empty()
        self._shards_by_name: ShardsByName = {}
        self._old_shards_by_name: OrderedDict[str, Shard] = OrderedDict()
        self._heads_by_revision: OrderedDict[int, Head] = OrderedDict()

    def list_missing(self, head: Head) -> list[str]:
        """Return the object names of a head's shards that are not held."""
        return [
            name
            for name in head.shards.values()
            if name not in self._shards_by_name
        ]

    def is_complete(self, head: Head, shards: ShardsByName) -> bool:
        """Return whether all shards of a head are held or in ``shards``."""
        return shards.keys() >= set(self.list_missing(head))

    def apply(self, head: Head, shards: ShardsByName) -> None:
        """
        Put a complete revision in force.

        :param head: head of the revision
        :param shards: shards not yet held, by object name
        """
        known = self._shards_by_name | shards
        needed = {name: known[name] for name in head.shards.values()}
        self._retain_old(needed)
        self._shards_by_name = needed
        self.table = Table(head.revision, list(needed.values()))
        self.head = head
        self._heads_by_revision[head.revision] = head
        if len(self._heads_by_revision) > MAX_HEADS:
            self._heads_by_revision.popitem(last=False)

    def build_delta(self, revision: int) -> TableDelta:
        """
        Return the changes since a revision.

        Whole shards are sent where the older shard is no longer held.

        :param revision: revision of the recipient
        :return: delta to the revision in force; it holds all shards if the
            head of ``revision`` is not held
        """
        base = self._heads_by_revision.get(revision, Head())
        shards: dict[str, bytes] = {}
        patches: dict[str, bytes] = {}
        for number, name in self.head.shards.items():
            old_name = base.shards.get(number, '')
            if old_name == name:
                continue
            new = self._shards_by_name[name]
            old = self._old_shards_by_name.get(old_name)
            if old is None:
                shards[name] = _encode(new)
            else:
                patches[name] = _encode(make_patch(old_name, old, new))
        return TableDelta(
            base=base.revision,
            head=_encode(self.head),
            shards=shards,
            patches=patches,
        )

    def decode_shards(self, delta: TableDelta) -> ShardsByName:
        """
        Return the shards of a delta by object name.

        A patch is skipped if the shard that it is based on is not held.
        """
        shards = {
            name: decode_shard(encoded)
            for name, encoded in delta.shards.items()
        }
        for name, encoded in delta.patches.items():
            patch = _decode_patch(encoded)
            old = self._shards_by_name.get(patch.base)
            if old is not None:
                shards[name] = apply_patch(old, patch)
        return shards

    def _retain_old(self, needed: ShardsByName) -> None:
        for name, shard in self._shards_by_name.items():
            if name not in needed:
                self._old_shards_by_name[name] = shard
        while len(self._old_shards_by_name) > MAX_OLD_SHARDS:
            self._old_shards_by_name.popitem(last=False)
