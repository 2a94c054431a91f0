"""Newest load of each instance, and the sum over all of them."""

from typing import NamedTuple

import msgspec

from cicadahoist.policy.load_digests.load_sum import LoadByTarget
from cicadahoist.policy.peer_loads import PeerLoad, PeerLoads

# Reports are repeated each 400 ms; an instance that sends none for this long is
# silent, or has another collector.
MEMBER_TTL_MS = 1200
# An earlier time than that of the last report belongs to a report that was
# delayed, or, after this time without any, to a process with another clock.
REORDER_MS = 600
# Larger figures come from damaged messages.
MAX_STAMP_MS = 1_000_000_000_000_000
MAX_TOKENS = 1_000_000_000_000


class MemberMark(msgspec.Struct, array_like=True, frozen=True):
    """
    What an instance tells about itself.

    :param age_ms: time since its last report
    :param offset_ms: its clock less that of the sender of the mark
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
        """What the instance tells apart from its time."""
        return (self.is_relay, self.is_cut_off, self.holds_duties)


class Contribution(msgspec.Struct, array_like=True, frozen=True):
    """
    Load of one instance.

    :param member: name of the instance
    :param mark: what it tells about itself
    :param load_by_target: its load
    """

    member: str
    mark: MemberMark
    load_by_target: LoadByTarget


class Change(NamedTuple):
    """
    How a contribution changes the next digest.

    :param is_summed: whether the sum is another one
    :param is_listed: whether the list of instances is another one
    """

    is_summed: bool = False
    is_listed: bool = False

    @property
    def is_any(self) -> bool:
        """Whether the next digest differs from the last one."""
        return self.is_summed or self.is_listed


class _Entry(msgspec.Struct):
    contribution: Contribution
    # Time of the report by the clock of the instance.
    stamp_ms: int
    # Time of the report by the clock of this process, and when the instance
    # last reported to this process itself, none if it did not.
    heard_ms: int
    direct_ms: int | None
    received_ms: int


class ContributionTable:
    """
    Newest load of each instance.

    A load may come from the instance itself and from several collectors. Each
    counts once, by its latest report.
    """

    __slots__ = ('_entry_by_member', '_loads')

    def __init__(self) -> None:
        self._entry_by_member: dict[str, _Entry] = {}
        self._loads = PeerLoads()

    def apply(
        self,
        contribution: Contribution,
        sender_true_ms: int,
        now_ms: int,
        *,
        is_direct: bool,
    ) -> Change:
        """
        Apply a contribution unless a newer one is known.

        :param contribution: its mark is relative to the clock of this process
        :param sender_true_ms: wall-clock time of this process
        :param is_direct: whether the instance has reported to this one
        """
        if not _is_plausible(contribution, sender_true_ms):
            return Change()
        mark = contribution.mark
        entry = _Entry(
            contribution,
            stamp_ms=sender_true_ms - mark.age_ms + mark.offset_ms,
            heard_ms=now_ms - mark.age_ms,
            direct_ms=now_ms if is_direct else None,
            received_ms=now_ms,
        )
        last = self._entry_by_member.get(contribution.member)
        if last is None:
            change = Change(is_summed=True, is_listed=True)
        elif _is_newer(entry, last):
            entry.direct_ms = entry.direct_ms or last.direct_ms
            change = Change(
                last.contribution.load_by_target != contribution.load_by_target,
                last.contribution.mark.state != mark.state,
            )
        else:
            last.direct_ms = entry.direct_ms or last.direct_ms
            return Change()
        self._entry_by_member[contribution.member] = entry
        if change.is_summed:
            self._loads.apply(
                contribution.member,
                PeerLoad(contribution.load_by_target, now_ms),
            )
        return change

    def drop_expired(self, now_ms: int) -> bool:
        """Drop the silent instances; return whether there were any."""
        silent = [
            name
            for name, entry in self._entry_by_member.items()
            if now_ms - entry.heard_ms > MEMBER_TTL_MS
        ]
        for name in silent:
            self._entry_by_member.pop(name)
            self._loads.drop(name)
        return bool(silent)

    def clear(self) -> None:
        """Forget all instances."""
        self._entry_by_member.clear()
        self._loads = PeerLoads()

    def list_members(self, now_ms: int) -> list[str]:
        """Return the instances that report to this one."""
        return [
            name
            for name, entry in self._entry_by_member.items()
            if _is_direct(entry, now_ms)
        ]

    def get_stamp_ms(self, member: str) -> int:
        """Return the time of the report that counts, 0 for none."""
        entry = self._entry_by_member.get(member)
        return entry.stamp_ms if entry else 0

    def list_loads(self) -> LoadByTarget:
        """Return the sum by target."""
        return self._loads.list_totals()

    def list_marks(self, now_ms: int) -> dict[str, MemberMark]:
        """Return the marks of all instances."""
        return {
            name: _compute_mark(entry, now_ms)
            for name, entry in self._entry_by_member.items()
        }

    def list_since(
        self, since_ms: int, now_ms: int, *, has_all: bool
    ) -> list[Contribution]:
        """
        Return the loads that were received lately.

        :param since_ms: those that were received before are left out
        :param has_all: whether to return also those of instances that report to
            other collectors
        """
        return [
            msgspec.structs.replace(
                entry.contribution, mark=_compute_mark(entry, now_ms)
            )
            for entry in self._entry_by_member.values()
            if entry.received_ms >= since_ms
            and (has_all or _is_direct(entry, now_ms))
        ]


def rebase(contribution: Contribution, offset_ms: int) -> Contribution:
    """
    Return a contribution with its mark relative to another clock.

    :param offset_ms: clock of its sender less the other one
    """
    mark = contribution.mark
    return msgspec.structs.replace(
        contribution,
        mark=msgspec.structs.replace(
            mark, offset_ms=mark.offset_ms + offset_ms
        ),
    )


def _is_plausible(contribution: Contribution, true_ms: int) -> bool:
    """Return whether the figures of a contribution can be right."""
    mark = contribution.mark
    stamp_ms = true_ms - mark.age_ms + mark.offset_ms
    if not 0 < stamp_ms < MAX_STAMP_MS or not 0 <= mark.age_ms < MEMBER_TTL_MS:
        return False
    return all(
        -MAX_TOKENS < tokens < MAX_TOKENS
        for load in contribution.load_by_target.values()
        for tokens in (load.prefill_tokens, load.run_count, load.kv_tokens)
    )


def _is_direct(entry: _Entry, now_ms: int) -> bool:
    if entry.direct_ms is None:
        return False
    return now_ms - entry.direct_ms <= MEMBER_TTL_MS


def _is_newer(entry: _Entry, last: _Entry) -> bool:
    if entry.stamp_ms > last.stamp_ms:
        return True
    return entry.heard_ms - last.heard_ms > REORDER_MS


def _compute_mark(entry: _Entry, now_ms: int) -> MemberMark:
    mark = entry.contribution.mark
    return MemberMark(now_ms - entry.heard_ms, mark.offset_ms, *mark.state)
