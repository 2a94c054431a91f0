"""Choice of engines for one request, and its admission."""

from collections.abc import Collection

import msgspec

from cicadahoist.listings import Listing
from cicadahoist.policy.engine_board import EngineState
from cicadahoist.policy.patience import compute_patience_ms, is_worth_accepting
from cicadahoist.policy.placement import Placement
from cicadahoist.requests import InboundRequest, ModelWork
from cicadahoist.rules import RouteRule
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.stream_binding import StreamBinding


class Choice(msgspec.Struct, frozen=True):
    """
    Engines for a request.

    :param placement: the engines, with the predicted times
    :param patience_ms: longest wait with which it is accepted under load
    :param is_accepted: whether the request is to be sent there
    """

    placement: Placement
    patience_ms: float
    is_accepted: bool


class EngineChoice:
    """
    Chooses the engines for one request.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: the route of the request
    :param service: the service that serves it
    :param work: the work that the request requires of an engine
    :param binding: the versions that may serve the request
    """

    __slots__ = (
        '_binding',
        '_context',
        '_request',
        '_route',
        '_service',
        '_work',
    )

    def __init__(
        self,
        context: ServingContext,
        request: InboundRequest,
        route: RouteRule,
        service: str,
        work: ModelWork,
        binding: StreamBinding,
    ) -> None:
        self._binding = binding
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._work = work

    def choose(
        self,
        tried: Collection[str],
        deadline: Deadline,
        version: str | None,
    ) -> Choice | None:
        """
        Return the engines to use, or none where no engine is left.

        :param tried: engines that are excluded
        :param deadline: when the request ends
        :param version: software version at which it has to run, none for any
        """
        excluded = frozenset(tried)
        remaining_ms = deadline.remaining_ms
        sampled_choice = self._choose_among(
            self._request.attempt_id, excluded, remaining_ms, version
        )
        if sampled_choice is None or sampled_choice.is_accepted:
            return sampled_choice
        # Engines outside of the sample may have capacity.
        return self._choose_among(None, excluded, remaining_ms, version)

    def compute_pause_ms(self) -> int | None:
        """Return when engines end their pauses, none unless all pause."""
        board = self._context.fleet.boards.get_board(self._service)
        return board.compute_pause_ms(self._context.clock.now_ms())

    def find_engine(self, name: str) -> tuple[EngineState, Listing] | None:
        """
        Return an engine and its listing, none if it is to be sent no requests.

        Since it was chosen, it may have been removed or have asked for a pause.
        In large fleets, it may also have been closed to change its role: it
        would begin what reaches it only after the change.
        """
        fleet = self._context.fleet
        engine = fleet.boards.get_board(self._service).get(name)
        listing = fleet.directory.get(name)
        if engine is None or listing is None:
            return None
        now_ms = self._context.clock.now_ms()
        if fleet.notices.pauses.is_paused(engine.life, now_ms):
            return None
        if self._context.is_large_fleet and self._is_closed(name):
            self._context.meters.capacity.count_placed_again()
            return None
        return engine, listing

    def _is_closed(self, name: str) -> bool:
        """Return whether an engine is about to leave its role."""
        board = self._context.fleet.boards.get_board(self._service)
        return name in board.list_closures(self._context.clock.now_ms())

    def is_sound(self, placement: Placement) -> bool:
        """Return whether the engines are neither ejected nor silent."""
        board = self._context.fleet.boards.get_board(self._service)
        now_ms = self._context.clock.now_ms()
        names = (placement.prefill_engine, placement.decode_engine)
        engines = [board.get(name) for name in names if name is not None]
        return all(
            engine is not None and board.is_healthy(engine, now_ms)
            for engine in engines
        )

    def _choose_among(
        self,
        sample_key: str | None,
        tried: frozenset[str],
        remaining_ms: int,
        version: str | None,
    ) -> Choice | None:
        placement = self._context.fleet.boards.get_placer(self._service).place(
            self._work,
            self._context.clock.now_ms(),
            tried,
            sample_key,
            version,
            self._binding.list_barred(),
            avoids_full=self._context.is_large_fleet,
        )
        if placement is None:
            return None
        max_wait_ms = compute_patience_ms(
            remaining_ms,
            self._route.timeout_ms,
            self._route.latency_objective_ms,
        )
        placement = self._add_link_wait(placement)
        is_accepted = is_worth_accepting(
            placement.first_token_ms,
            placement.wait_ms,
            max_wait_ms,
            remaining_ms,
        )
        return Choice(placement, max_wait_ms, is_accepted)

    def _add_link_wait(self, placement: Placement) -> Placement:
        """Add the time for which its sends wait at the link to a placement."""
        wait_ms = self._context.link.compute_wait_ms(
            self._context.clock.now_ms()
        )
        if placement.prefill_engine is not None:
            wait_ms *= 2
        return msgspec.structs.replace(
            placement,
            first_token_ms=placement.first_token_ms + wait_ms,
            wait_ms=placement.wait_ms + wait_ms,
        )
