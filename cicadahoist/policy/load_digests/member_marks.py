"""What digests tell about each instance that is alive."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec


class Change(NamedTuple):
    """
    How a message changes the next digest.

    :param is_summed: whether the sums are others
    :param is_listed: whether the list of instances is another one
    """

    is_summed: bool
    is_listed: bool

    @property
    def is_any(self) -> bool:
        """Whether the next digest differs from the last one."""
        return self.is_summed or self.is_listed


class MemberMark(msgspec.Struct, array_like=True, frozen=True):
    """
    One instance whose reports a digest contains.

    :param age_ms: time since its last report
    :param offset_ms: its clock less that of the sender of the digest
    :param is_relay: whether it opens connections for peers
    :param is_cut_off: whether it reaches no target itself
    :param holds_duties: whether it holds the lease of the duties
    """

    age_ms: int
    offset_ms: int
    is_relay: bool = False
    is_cut_off: bool = False
    holds_duties: bool = False

    @property
    def state(self) -> tuple[bool, bool, bool]:
        """What the instance tells about itself."""
        return (self.is_relay, self.is_cut_off, self.holds_duties)

    def rebase(self, passed_ms: int, offset_ms: int) -> 'MemberMark':
        """
        Return the mark for a later digest of another sender.

        :param passed_ms: time since the mark was received
        :param offset_ms: clock of the mark's sender less that of the other one
        """
        return MemberMark(
            self.age_ms + passed_ms, self.offset_ms + offset_ms, *self.state
        )


Marks = dict[str, MemberMark]


def merge_marks(tables: Iterable[Marks]) -> Marks:
    """Return the newest mark of each instance."""
    merged: Marks = {}
    for marks in tables:
        for name, mark in marks.items():
            known = merged.get(name)
            if known is None or mark.age_ms < known.age_ms:
                merged[name] = mark
    return merged


def has_same_states(first: Marks, second: Marks) -> bool:
    """Return whether two lists have the same instances in the same states."""
    if first.keys() != second.keys():
        return False
    return all(mark.state == second[name].state for name, mark in first.items())
