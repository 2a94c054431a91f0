"""Wishes of this instance for slots at one service."""

from enum import Enum
from itertools import count

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.policy.balancing.slot_messages import (
    Ask,
    Candidate,
    Holding,
    SlotAnswer,
    SlotMessage,
)


class WishState(Enum):
    """
    What the home has said.

    ``asked``: nothing yet. ``queued``: the wish waits for a slot. ``unknown``:
    no home has answered in time, so that this instance chooses itself.
    """

    asked = 'asked'
    queued = 'queued'
    granted = 'granted'
    refused = 'refused'
    unknown = 'unknown'


_UNDECIDED = frozenset((WishState.asked, WishState.queued))


class SlotWish:
    """
    One wish for a slot.

    :param ask: what the home is asked
    :param asked_ms: when it was asked
    """

    __slots__ = (
        '_decided',
        'ask',
        'asked_ms',
        'retry_after_ms',
        'state',
        'target',
    )

    def __init__(self, ask: Ask, asked_ms: int) -> None:
        self.ask = ask
        self.asked_ms = asked_ms
        self.retry_after_ms = 0
        self.state = WishState.asked
        # Where the request is sent, empty for nowhere yet.
        self.target = ''
        self._decided: Deferred[None] = Deferred()

    @property
    def is_undecided(self) -> bool:
        """Whether the request still waits for a decision."""
        return self.state in _UNDECIDED

    def decide(self, state: WishState) -> None:
        """Set the state, and let the request go on once it is decided."""
        was_undecided = self.is_undecided
        self.state = state
        if was_undecided and not self.is_undecided:
            self._decided.callback(None)

    def give_up(self) -> None:
        """Let the request go on without a grant."""
        if self.is_undecided:
            self.decide(WishState.unknown)

    async def wait(self) -> None:
        """Wait for the decision."""
        await self._decided


class ServiceWishes:
    """
    Wishes at one service that are not over, with their targets.

    :param service: name of the service
    :param first_number: number of its first wish, above those of an earlier
        process of this instance
    """

    __slots__ = (
        '_accepted',
        '_holding_by_number',
        '_numbers',
        '_rejected',
        '_wish_by_number',
        'service',
    )

    def __init__(self, service: str, first_number: int) -> None:
        self.service = service
        self._numbers = count(first_number)
        self._wish_by_number: dict[int, SlotWish] = {}
        self._holding_by_number: dict[int, Holding] = {}
        # Targets of requests that have ended since the last message.
        self._accepted: set[str] = set()
        self._rejected: set[str] = set()

    @property
    def has_open(self) -> bool:
        """Whether a wish is not over."""
        return bool(self._wish_by_number)

    def add(
        self,
        pool: str,
        candidates: tuple[Candidate, ...],
        max_wait_ms: int,
        now_ms: int,
    ) -> SlotWish:
        """Add a wish that the next message asks."""
        number = next(self._numbers)
        wish = SlotWish(Ask(number, pool, max_wait_ms, candidates), now_ms)
        self._wish_by_number[number] = wish
        self._holding_by_number[number] = Holding(number, pool)
        return wish

    def take(self, wish: SlotWish, target: str) -> bool:
        """
        Record where the request of a wish is sent.

        :return: whether the home does not know it
        """
        number = wish.ask.number
        if number not in self._holding_by_number or wish.target == target:
            return False
        wish.target = target
        costs_ms = [
            candidate.cost_ms
            for candidate in wish.ask.candidates
            if candidate.name == target
        ]
        self._holding_by_number[number] = Holding(
            number, wish.ask.pool, target, costs_ms[0] if costs_ms else 0
        )
        return True

    def end(self, wish: SlotWish, *, is_rejected: bool | None) -> None:
        """
        Record that a request is over.

        :param is_rejected: whether its target has rejected it, none if it says
            nothing about the target
        """
        self._wish_by_number.pop(wish.ask.number, None)
        holding = self._holding_by_number.pop(wish.ask.number, None)
        if holding is None or not holding.target or is_rejected is None:
            return
        outcomes = self._rejected if is_rejected else self._accepted
        outcomes.add(holding.target)

    def apply(self, answer: SlotAnswer) -> SlotWish | None:
        """Apply an answer of the home; return its wish, none if it is over."""
        wish = self._wish_by_number.get(answer.number)
        if wish is None or not wish.is_undecided:
            return wish
        if answer.target:
            self.take(wish, answer.target)
            wish.decide(WishState.granted)
        elif answer.retry_after_ms:
            wish.retry_after_ms = answer.retry_after_ms
            wish.decide(WishState.refused)
        else:
            wish.decide(WishState.queued)
        return wish

    def build_message(
        self, sender: str, sequence: int, *, is_repeat: bool
    ) -> SlotMessage:
        """Return the message that states all wishes."""
        message = SlotMessage(
            sender,
            self.service,
            sequence,
            asks=tuple(
                wish.ask
                for wish in self._wish_by_number.values()
                if wish.is_undecided
            ),
            holdings=tuple(self._holding_by_number.values()),
            accepted=tuple(self._accepted),
            rejected=tuple(self._rejected),
            is_repeat=is_repeat,
        )
        self._accepted.clear()
        self._rejected.clear()
        return message


class WishBook:
    """
    Wishes of this instance by service.

    :param clock: clock of the process
    """

    __slots__ = ('_clock', '_wishes_by_service')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wishes_by_service: dict[str, ServiceWishes] = {}

    def get(self, service: str) -> ServiceWishes:
        """Return the wishes at a service, none at the first use."""
        wishes = self._wishes_by_service.get(service)
        if wishes is None:
            wishes = ServiceWishes(service, self._clock.now_ms())
            self._wishes_by_service[service] = wishes
        return wishes

    def list_all(self) -> list[ServiceWishes]:
        """Return the wishes at all services."""
        return list(self._wishes_by_service.values())
