"""Slots for the attempts of one request at a service with few of them."""

from collections.abc import Callable

import msgspec

from cicadahoist.policy.balancing.slot_messages import Candidate
from cicadahoist.policy.patience import compute_patience_ms
from cicadahoist.reasons import Refusal
from cicadahoist.requests import AnswerMeaning
from cicadahoist.rules import RouteRule
from cicadahoist.serving.attempt import AttemptEnd, AttemptOutcome
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.slot_wishes import SlotWish, WishState


class SlotGrant(msgspec.Struct, frozen=True):
    """
    What became of a wish for a slot.

    :param target: where to send the request
    :param wish: the wish, none if nobody was asked
    :param retry_after_ms: when its caller is to come back, 0 unless it is
        refused
    :param granted_ms: when it was decided
    """

    target: str
    wish: SlotWish | None = None
    retry_after_ms: int = 0
    granted_ms: int = 0


class RequestSlots:
    """
    Asks for the slots of one request, where the slots of its service are few.

    :param context: shared parts of the data path
    :param service: the service that serves the request
    :param route: the route of the request
    :param deadline: when the request ends
    :param is_awaited: returns whether the request goes on
    :param refuse: refuses it, with a reason and when to come back
    """

    __slots__ = (
        '_context',
        '_deadline',
        '_is_awaited',
        '_open_grants',
        '_refuse',
        '_route',
        '_service',
    )

    def __init__(
        self,
        context: ServingContext,
        service: str,
        route: RouteRule,
        deadline: Deadline,
        is_awaited: Callable[[], bool],
        refuse: Callable[[Refusal, int], None],
    ) -> None:
        self._is_awaited = is_awaited
        self._open_grants: list[SlotGrant] = []
        self._refuse = refuse
        self._context = context
        self._service = service
        self._route = route
        self._deadline = deadline

    @property
    def is_needed(self) -> bool:
        """Whether the slots of the service are few."""
        return self._context.fleet.balances.is_scarce(self._service)

    async def ask(
        self,
        pool: str,
        chosen: str,
        candidates: tuple[Candidate, ...],
        first_ms: float,
    ) -> SlotGrant:
        """
        Return where to send the request, or when its caller may come back.

        :param pool: targets that do the same work
        :param chosen: target to use if no home answers
        :param candidates: the targets that can take the request
        :param first_ms: time from the slot to the begin of the answer
        """
        if not candidates:
            return SlotGrant(chosen)
        balances = self._context.fleet.balances
        slots = balances.slots
        patience_ms = compute_patience_ms(
            self._deadline.remaining_ms,
            self._route.timeout_ms,
            self._route.latency_objective_ms,
        )
        wish = await slots.ask(
            self._service,
            pool,
            candidates,
            max(0, round(patience_ms - first_ms)),
        )
        now_ms = self._context.clock.now_ms()
        self._context.meters.balance.record_choice(
            wish.state, now_ms - wish.asked_ms
        )
        if wish.state is WishState.unknown:
            self._context.meters.balance.record_load_age(
                balances.peer_loads.compute_age_ms(now_ms)
            )
        if wish.state is WishState.refused:
            slots.end(self._service, wish, is_rejected=None)
            return SlotGrant(chosen, retry_after_ms=wish.retry_after_ms)
        target = wish.target or chosen
        slots.take(self._service, wish, target)
        grant = SlotGrant(target, wish, granted_ms=now_ms)
        self._open_grants.append(grant)
        return grant

    def may_send(self, grant: SlotGrant) -> bool:
        """
        Return whether to send where a slot was asked for.

        The request may have ended meanwhile, or is refused now.
        """
        may_send = self._is_awaited() and not grant.retry_after_ms
        if grant.retry_after_ms:
            self._refuse(Refusal.slots_taken, grant.retry_after_ms)
        if not may_send:
            self.end(grant, None)
        return may_send

    def end(self, grant: SlotGrant, end: AttemptEnd | None) -> None:
        """
        State that the slot of a grant is free.

        :param end: the end of the attempt, none if there was none
        """
        if grant.wish is None or grant not in self._open_grants:
            return
        self._open_grants.remove(grant)
        balances = self._context.fleet.balances
        if end is not None and end.outcome is AttemptOutcome.answered:
            balances.hold_times.record(
                grant.wish.ask.pool,
                self._context.clock.now_ms() - grant.granted_ms,
            )
        balances.slots.end(
            self._service, grant.wish, is_rejected=_read_rejection(end)
        )

    def end_all(self) -> None:
        """State that all slots of the request are free."""
        for grant in tuple(self._open_grants):
            self.end(grant, None)


def _read_rejection(end: AttemptEnd | None) -> bool | None:
    """Return whether a target has rejected an attempt, none if unknown."""
    if end is None:
        return None
    if end.outcome is AttemptOutcome.answered:
        return False
    is_rejected = end.outcome is AttemptOutcome.not_run
    if is_rejected and end.head is not None:
        return end.head.meaning is AnswerMeaning.not_run or None
    return None
