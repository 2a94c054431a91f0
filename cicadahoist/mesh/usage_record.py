"""Stored record of the usage of one entry in one window."""

from collections.abc import Mapping

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.messages import UsageCount
from cicadahoist.protocol.usage_figures import (
    SourceTotals,
    TotalsByWorkspace,
    UsageTotal,
)

CountsByNumber = Mapping[int, UsageCount]


class UsageRecord(msgspec.Struct, frozen=True, kw_only=True):
    """
    Totals of one incarnation of an entry in one window.

    The entry numbers its counts from 1, so that each count is added once,
    whichever instance writes the record.

    :param totals: totals by workspace
    :param through: number up to which all counts are included
    :param beyond: numbers after ``through`` that are also included
    """

    totals: SourceTotals
    through: int = 0
    beyond: list[int] = []

    def includes(self, number: int) -> bool:
        """Return whether the totals include a count."""
        return number <= self.through or number in self.beyond

    def with_counts(self, counts: CountsByNumber) -> 'UsageRecord':
        """Return the record with the counts added that it does not include."""
        added = {
            number: count
            for number, count in counts.items()
            if not self.includes(number)
        }
        through, beyond = _merge_contiguous(
            self.through, {*self.beyond, *added}
        )
        by_workspace = dict(self.totals.by_workspace)
        for count in added.values():
            add_count(by_workspace, count)
        return UsageRecord(
            totals=msgspec.structs.replace(
                self.totals, by_workspace=by_workspace
            ),
            through=through,
            beyond=beyond,
        )


def add_count(by_workspace: TotalsByWorkspace, count: UsageCount) -> None:
    """Add a count to the totals of its workspace."""
    one = UsageTotal(count.prompt_tokens, count.output_tokens, 1)
    known = by_workspace.get(count.workspace, UsageTotal())
    by_workspace[count.workspace] = known.plus(one)


def make_source_name(entry: str, incarnation: str) -> str:
    """Return the name of a source: an entry and its incarnation."""
    return f'{entry}/{incarnation}'


def make_window_prefix(window: int) -> str:
    """Return the common prefix of the object names of a window's records."""
    return f'usage/{window}/'


def make_record_name(window: int, source: str) -> str:
    """Return the name of the store object that holds a record."""
    return f'{make_window_prefix(window)}{source}'


_codec: Codec[UsageRecord] = Codec.stored('usage record', UsageRecord)
encode_record = _codec.encode
decode_record = _codec.decode


def _merge_contiguous(through: int, beyond: set[int]) -> tuple[int, list[int]]:
    while through + 1 in beyond:
        through += 1
        beyond.discard(through)
    return through, sorted(beyond)
