"""The table of one process: shards, and what changed between revisions."""

from collections import OrderedDict

import msgspec

from cicadahoist.messages import TableDelta
from cicadahoist.table import Head, Shard, Table

HEADS_KEPT = 64

Encoded = dict[str, bytes]

decode_head = msgspec.json.Decoder(Head).decode
_decode_shard = msgspec.json.Decoder(Shard).decode


class Replica:
    """The newest table known, with what a peer needs to follow it."""

    __slots__ = (
        '_encoded_by_name',
        '_heads',
        '_shards_by_name',
        'head',
        'table',
    )

    def __init__(self) -> None:
        self.head = Head()
        self.table = Table.empty()
        self._encoded_by_name: Encoded = {}
        self._shards_by_name: dict[str, Shard] = {}
        self._heads: OrderedDict[int, Head] = OrderedDict()

    def missing(self, head: Head) -> list[str]:
        """Return the names of the shards that a head needs in addition."""
        return [
            name
            for name in head.shards.values()
            if name not in self._encoded_by_name
        ]

    def is_complete(self, head: Head, encoded_by_name: Encoded) -> bool:
        """Tell whether a head's shards are known or among those given."""
        return encoded_by_name.keys() >= set(self.missing(head))

    def apply(self, head: Head, encoded_by_name: Encoded) -> None:
        """
        Put a complete revision in force.

        :param encoded_by_name: encoded shards that are not yet known
        """
        known = self._encoded_by_name | encoded_by_name
        needed = list(head.shards.values())
        self._encoded_by_name = {name: known[name] for name in needed}
        self._shards_by_name = {name: self._shard(name) for name in needed}
        self.table = Table(head.revision, list(self._shards_by_name.values()))
        self.head = head
        self._heads[head.revision] = head
        if len(self._heads) > HEADS_KEPT:
            self._heads.popitem(last=False)

    def delta_since(self, revision: int) -> TableDelta:
        """Return what changed since a revision, all where it is unknown."""
        base = self._heads.get(revision, Head())
        old = set(base.shards.values())
        return TableDelta(
            base=base.revision,
            head=msgspec.json.encode(self.head),
            shards={
                name: encoded
                for name, encoded in self._encoded_by_name.items()
                if name not in old
            },
        )

    def _shard(self, name: str) -> Shard:
        known = self._shards_by_name.get(name)
        if known is None:
            return _decode_shard(self._encoded_by_name[name])
        return known
