"""Derives the state of target orders from journal, platform and table."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from cicadahoist.control.target_orders import (
    ACCEPTED,
    BUY,
    RECLAIMABLE,
    UNAVAILABLE,
    build_platform_token,
    parse_pool,
)
from cicadahoist.outside.platform_messages import (
    RunningTarget,
    TargetOrderState,
)
from cicadahoist.protocol.records import JournalEntry
from cicadahoist.table import Target

Journal = dict[str, JournalEntry]


class SlotPhase(Enum):
    """
    State of a slot.

    A slot is ``gone`` if its target no longer runs but its row still exists.
    """

    free = 'free'
    ordering = 'ordering'
    arriving = 'arriving'
    running = 'running'
    releasing = 'releasing'
    gone = 'gone'


class Slot(msgspec.Struct, frozen=True, kw_only=True):
    """
    One target that control may have bought for a pool.

    :param name: ``pool/number``, its key in the journal
    :param target: name assigned by the platform, empty while unknown
    :param row: name of its row in the table, empty while unknown
    """

    name: str
    phase: SlotPhase
    reclaimable: bool = False
    target: str = ''
    row: str = ''

    @property
    def pool(self) -> str:
        """The pool of the target."""
        return parse_pool(self.name)


class Market(msgspec.Struct, frozen=True, kw_only=True):
    """Targets and target orders of one zone, as read from the platform."""

    zone: str
    state_by_token: dict[str, TargetOrderState]
    running_by_name: dict[str, RunningTarget]

    def find_purchase(self, entry: JournalEntry) -> TargetOrderState | None:
        """Return the state of a purchase, or None if it was not accepted."""
        token = build_platform_token(self.zone, entry.token)
        state = self.state_by_token.get(token)
        if state is None or state.state == UNAVAILABLE:
            return None
        return state


class SlotReader:
    """
    Combines journal, platform and table into slots.

    :param journal: copied before the platform was read, so that the platform
        shows every settled order in it
    :param market: state read from the platform
    :param rows: rows of the zone that control added
    """

    __slots__ = ('_journal', '_market', '_newest_by_target', '_row_by_target')

    def __init__(
        self, journal: Journal, market: Market, rows: Iterable[Target]
    ) -> None:
        self._journal = journal
        self._market = market
        self._row_by_target = {parse_target_name(row): row.name for row in rows}
        self._newest_by_target: dict[str, JournalEntry] = {}
        for entry in sorted(journal.values(), key=_sequence_key):
            state = market.find_purchase(entry) if entry.kind == BUY else None
            if state is not None:
                self._newest_by_target[state.target] = entry

    def build_slots(self) -> dict[str, Slot]:
        """Return the slots of all journalled orders by name."""
        return {
            name: self._build_slot(name, entry)
            for name, entry in self._journal.items()
        }

    def is_current(self, row: Target) -> bool:
        """Return whether the target bought for a row is still running."""
        name = parse_target_name(row)
        if name not in self._market.running_by_name:
            return False
        newest = self._newest_by_target.get(name)
        # The platform may sell a released target again under the same name.
        return newest is None or _sequence_key(newest) <= parse_row_number(row)

    def _build_slot(self, name: str, entry: JournalEntry) -> Slot:
        if entry.kind == BUY:
            return self._build_purchase_slot(name, entry)
        return self._build_release_slot(name, entry)

    def _build_purchase_slot(self, name: str, entry: JournalEntry) -> Slot:
        is_reclaimable = entry.argument == RECLAIMABLE
        if not entry.settled:
            return Slot(
                name=name, phase=SlotPhase.ordering, reclaimable=is_reclaimable
            )
        state = self._market.find_purchase(entry)
        if state is None:
            return Slot(name=name, phase=SlotPhase.free)
        row = build_row_name(state.target, entry)
        return Slot(
            name=name,
            phase=self._choose_phase(state, entry, row),
            reclaimable=is_reclaimable,
            target=state.target,
            row=row,
        )

    def _choose_phase(
        self, state: TargetOrderState, entry: JournalEntry, row: str
    ) -> SlotPhase:
        if state.state == ACCEPTED:
            return SlotPhase.arriving
        is_newest = self._newest_by_target.get(state.target) == entry
        if is_newest and state.target in self._market.running_by_name:
            return SlotPhase.running
        if self._row_by_target.get(state.target) == row:
            return SlotPhase.gone
        return SlotPhase.free

    def _build_release_slot(self, name: str, entry: JournalEntry) -> Slot:
        target = entry.argument
        row = self._row_by_target.get(target, '')
        running = self._market.running_by_name.get(target)
        phase = SlotPhase.gone if row else SlotPhase.free
        if not entry.settled:
            phase = SlotPhase.releasing
        elif running and target not in self._newest_by_target:
            # The release was cancelled.
            phase = SlotPhase.running
        return Slot(
            name=name,
            phase=phase,
            reclaimable=bool(running and running.reclaimable),
            target=target,
            row=row,
        )


def build_row_name(target: str, entry: JournalEntry) -> str:
    """Return the name of the row of a purchase, which is never reused."""
    return f'{target}.{entry.token}'


def parse_target_name(row: Target) -> str:
    """Return the name that the platform uses for the target of a row."""
    return row.name.rsplit('.', 2)[0]


def parse_row_number(row: Target) -> tuple[int, int]:
    """Return the epoch and sequence number of the purchase of a row."""
    _, epoch, seq = row.name.rsplit('.', 2)
    return int(epoch), int(seq)


def _sequence_key(entry: JournalEntry) -> tuple[int, int]:
    return entry.epoch, entry.seq
