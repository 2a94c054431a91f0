"""
Slots of the targets of one service, granted by one instance for all.

The home knows each open request at once, where load reports are some time old.
It grants the target that is done first, lets wishes wait while all slots are
taken, and refuses those that would wait too long.
"""

from math import ceil

import msgspec

from cicadahoist.policy.balancing.hold_times import HoldTimes
from cicadahoist.policy.balancing.slot_messages import (
    Ask,
    Candidate,
    Holding,
    SlotAnswer,
    SlotMessage,
)
from cicadahoist.policy.balancing.usable_slots import UsableSlots
from cicadahoist.policy.rejection_backoff import RejectionBackoffs

# Open wishes are repeated each 400 ms; those of an instance that has ended
# must not hold slots.
SENDER_TTL_MS = 1500


class _Slot(msgspec.Struct):
    """A granted slot."""

    pool: str
    target: str
    cost_ms: int
    granted_ms: int


class _Sender:
    """Open wishes of one instance."""

    __slots__ = ('heard_ms', 'sequence', 'slots_by_number')

    def __init__(self) -> None:
        self.heard_ms = 0
        self.sequence = -1
        self.slots_by_number: dict[int, _Slot] = {}


class _Waiting(msgspec.Struct, frozen=True):
    sender: str
    ask: Ask
    due_ms: int


Answers = list[tuple[str, SlotAnswer]]


class SlotHome:
    """Grants slots; answers are pairs of an instance and its answer."""

    __slots__ = (
        '_backoffs',
        '_hold_times',
        '_senders_by_name',
        '_usable_slots',
        '_use_by_target',
        '_waiting',
    )

    def __init__(self) -> None:
        self._senders_by_name: dict[str, _Sender] = {}
        # Open requests, and the time that they need, by target.
        self._use_by_target: dict[str, tuple[int, int]] = {}
        self._waiting: list[_Waiting] = []
        self._hold_times = HoldTimes()
        self._backoffs = RejectionBackoffs()
        self._usable_slots = UsableSlots()

    def apply(self, message: SlotMessage, now_ms: int) -> Answers:
        """Apply what an instance states, and return the answers due now."""
        sender = self._senders_by_name.setdefault(message.sender, _Sender())
        if message.sequence <= sender.sequence:
            return []
        sender.sequence = message.sequence
        sender.heard_ms = now_ms
        self._drop_silent(now_ms)
        self._apply_outcomes(message, now_ms)
        self._apply_holdings(sender, message, now_ms)
        return [
            *self._serve_waiting(now_ms),
            *(
                (message.sender, self._answer(message.sender, ask, now_ms))
                for ask in message.asks
                if ask.number not in sender.slots_by_number
            ),
        ]

    def count_open(self, target: str) -> int:
        """Return the open requests at a target."""
        return self._use_by_target.get(target, (0, 0))[0]

    def _apply_outcomes(self, message: SlotMessage, now_ms: int) -> None:
        for accepted in message.accepted:
            self._backoffs.record_acceptance(accepted)
        for rejected in message.rejected:
            self._backoffs.record_rejection(rejected, now_ms)
            # The rejected request is still counted.
            self._usable_slots.record_rejection(
                rejected, self.count_open(rejected) - 1, now_ms
            )

    def _apply_holdings(
        self, sender: _Sender, message: SlotMessage, now_ms: int
    ) -> None:
        """Free the slots of wishes that are over, and take those not known."""
        by_number = {holding.number: holding for holding in message.holdings}
        for number, slot in list(sender.slots_by_number.items()):
            holding = by_number.get(number)
            if holding is None:
                held_ms = now_ms - slot.granted_ms
                self._hold_times.record(slot.pool, held_ms)
            if holding is None or holding.target not in {'', slot.target}:
                self._free(sender, number)
        for number, holding in by_number.items():
            if holding.target and number not in sender.slots_by_number:
                self._take(sender, holding, now_ms)
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.sender != message.sender
            or _is_unplaced(by_number.get(waiting.ask.number))
        ]

    def _answer(self, sender: str, ask: Ask, now_ms: int) -> SlotAnswer:
        ahead_count = 1
        for waiting in self._waiting:
            if (waiting.sender, waiting.ask.number) == (sender, ask.number):
                return SlotAnswer(ask.number)
            ahead_count += waiting.ask.pool == ask.pool
        candidate = self._find_free(ask, now_ms)
        if candidate is not None:
            return self._grant(sender, ask, candidate, now_ms)
        wait_ms = self._hold_times.predict_wait_ms(
            ask.pool, _count_slots(ask), ahead_count
        )
        if wait_ms > ask.max_wait_ms:
            return self._refuse(ask, ahead_count, now_ms)
        due_ms = now_ms + ask.max_wait_ms
        self._waiting.append(_Waiting(sender, ask, due_ms))
        return SlotAnswer(ask.number)

    def _refuse(self, ask: Ask, ahead_count: int, now_ms: int) -> SlotAnswer:
        slot_count = _count_slots(ask)
        wait_ms = self._hold_times.predict_wait_ms(
            ask.pool, slot_count, ahead_count
        )
        retry_ms = self._hold_times.book_return(
            ask.pool, slot_count, wait_ms, now_ms
        )
        return SlotAnswer(ask.number, retry_after_ms=ceil(retry_ms))

    def _serve_waiting(self, now_ms: int) -> Answers:
        """
        Grant free slots to those that wait, the first ones first.

        Those that have waited for too long get what is left, and are refused
        if that is nothing.
        """
        answers: Answers = []
        left: list[_Waiting] = []
        # A wish that finds no slot shows it for those behind it.
        full_pools: set[str] = set()
        ranked = sorted(
            self._waiting, key=lambda waiting: waiting.due_ms < now_ms
        )
        for waiting in ranked:
            ask = waiting.ask
            candidate = None
            if ask.pool not in full_pools:
                candidate = self._find_free(ask, now_ms)
            if candidate is not None:
                answer = self._grant(waiting.sender, ask, candidate, now_ms)
                answers.append((waiting.sender, answer))
                continue
            full_pools.add(ask.pool)
            if waiting.due_ms < now_ms:
                answers.append((waiting.sender, self._refuse(ask, 1, now_ms)))
            else:
                left.append(waiting)
        self._waiting = left
        return answers

    def _find_free(self, ask: Ask, now_ms: int) -> Candidate | None:
        """Return the candidate with a free slot that is done first, or none."""
        free = [
            candidate
            for candidate in ask.candidates
            if self.count_open(candidate.name)
            < self._usable_slots.compute_limit(
                candidate.name, candidate.slots, now_ms
            )
        ]
        return min(
            free,
            key=lambda candidate: (
                self._backoffs.get_end_ms(candidate.name) > now_ms,
                candidate.cost_ms
                + self._use_by_target.get(candidate.name, (0, 0))[1],
            ),
            default=None,
        )

    def _grant(
        self, sender: str, ask: Ask, candidate: Candidate, now_ms: int
    ) -> SlotAnswer:
        self._take(
            self._senders_by_name[sender],
            Holding(ask.number, ask.pool, candidate.name, candidate.cost_ms),
            now_ms,
        )
        return SlotAnswer(ask.number, candidate.name)

    def _take(self, sender: _Sender, holding: Holding, now_ms: int) -> None:
        sender.slots_by_number[holding.number] = _Slot(
            holding.pool, holding.target, holding.cost_ms, now_ms
        )
        self._change_use(holding.target, 1, holding.cost_ms)

    def _free(self, sender: _Sender, number: int) -> None:
        slot = sender.slots_by_number.pop(number)
        self._change_use(slot.target, -1, -slot.cost_ms)

    def _change_use(self, target: str, count: int, cost_ms: int) -> None:
        used_count, used_ms = self._use_by_target.get(target, (0, 0))
        if used_count + count > 0:
            self._use_by_target[target] = (
                used_count + count,
                used_ms + cost_ms,
            )
        else:
            self._use_by_target.pop(target, None)

    def _drop_silent(self, now_ms: int) -> None:
        """Free the slots of instances that are not heard any more."""
        silent = [
            name
            for name, sender in self._senders_by_name.items()
            if now_ms - sender.heard_ms > SENDER_TTL_MS
        ]
        for name in silent:
            sender = self._senders_by_name.pop(name)
            for number in list(sender.slots_by_number):
                self._free(sender, number)
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.sender in self._senders_by_name
        ]


def _is_unplaced(holding: Holding | None) -> bool:
    """Return whether a wish is open and its request is sent nowhere."""
    return holding is not None and not holding.target


def _count_slots(ask: Ask) -> int:
    return sum(candidate.slots for candidate in ask.candidates)
