"""Chooses engines for one request, and tells whether it is accepted there."""

import msgspec

from cicadahoist.policy.patience import is_worth_its_place, patience_ms
from cicadahoist.policy.placement import Placement
from cicadahoist.requests import InboundRequest, ModelWork
from cicadahoist.rules import RouteRule
from cicadahoist.serving.context import ServingContext


class Choice(msgspec.Struct, frozen=True):
    """
    Engines for a request.

    :param patience_ms: longest wait with which it is accepted under load
    :param is_accepted: whether it is to be sent there
    """

    placement: Placement
    patience_ms: float
    is_accepted: bool


class EngineChoice:
    """
    Chooses for one request.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: its route
    :param service: the service that serves it
    :param work: what it asks of an engine
    """

    __slots__ = ('_context', '_request', '_route', '_service', '_work')

    def __init__(
        self,
        context: ServingContext,
        request: InboundRequest,
        route: RouteRule,
        service: str,
        work: ModelWork,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._work = work

    def choose(self, tried: frozenset[str], left_ms: int) -> Choice | None:
        """
        Return the engines to use, or none where no engine is left.

        :param tried: engines that are left out
        :param left_ms: how long the caller goes on waiting
        """
        drawn = self._choice(self._request.attempt_id, tried, left_ms)
        if drawn is None or drawn.is_accepted:
            return drawn
        # The engines that were not looked at may have room.
        return self._choice(None, tried, left_ms)

    def _choice(
        self, draw: str | None, tried: frozenset[str], left_ms: int
    ) -> Choice | None:
        placement = self._context.fleet.boards.get_placer(self._service).place(
            self._work, self._context.clock.now_ms(), tried, draw
        )
        if placement is None:
            return None
        bound_ms = patience_ms(
            left_ms, self._route.timeout_ms, self._route.first_aim_ms
        )
        is_accepted = is_worth_its_place(
            placement.first_token_ms, placement.wait_ms, bound_ms, left_ms
        )
        return Choice(placement, bound_ms, is_accepted)
