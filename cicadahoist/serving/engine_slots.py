"""Slots at engines for the prefill and the run of one request."""

from collections.abc import Collection, Iterator, Sized
from contextlib import contextmanager

import msgspec

from cicadahoist.policy.balancing.engine_candidates import EngineCandidates
from cicadahoist.policy.balancing.engine_sample import name_pool
from cicadahoist.policy.engine_board import DECODE, PREFILL, EngineState
from cicadahoist.policy.placement import Placement
from cicadahoist.requests import ModelWork
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.request_slots import RequestSlots, SlotGrant


class EngineGrant(msgspec.Struct, frozen=True):
    """
    Where one attempt at an engine goes.

    :param placement: the engines of the request, this one included
    """

    placement: Placement
    slot: SlotGrant


class EngineSlots:
    """
    Asks for the slots of one request at engines.

    :param context: shared parts of the data path
    :param service: the service that serves the request
    :param work: the work that the request requires of an engine
    :param slots: asks the home of the service
    """

    __slots__ = ('_candidates', '_context', '_service', '_slots')

    def __init__(
        self,
        context: ServingContext,
        service: str,
        work: ModelWork,
        slots: RequestSlots,
    ) -> None:
        self._candidates = EngineCandidates(
            context.fleet.boards.get_board(service), work
        )
        self._context = context
        self._service = service
        self._slots = slots

    async def ask_for_prefill(
        self, placement: Placement, open_attempts: Sized, tried: Collection[str]
    ) -> EngineGrant:
        """
        Return where to prefill, at an engine with a free slot.

        :param placement: engines to use if no home answers
        :param open_attempts: attempts beside which this one is sent; it goes
            to the chosen engine if there are any
        :param tried: engines that are excluded
        """
        chosen = placement.prefill_engine or ''
        if open_attempts or not self._slots.is_needed:
            return EngineGrant(placement, SlotGrant(chosen))
        candidates = self._candidates.list_for_prefill(
            placement, frozenset(tried), self._context.clock.now_ms()
        )
        slot = await self._slots.ask(
            name_pool(self._service, PREFILL),
            chosen,
            candidates,
            placement.first_token_ms - placement.wait_ms,
        )
        return EngineGrant(
            self._candidates.move_prefill(placement, slot.target), slot
        )

    async def ask_for_run(
        self,
        placement: Placement,
        open_attempts: Sized,
        tried: Collection[str],
        *,
        is_prefilled: bool,
    ) -> EngineGrant:
        """
        Return where to run, at an engine with a free slot.

        :param is_prefilled: whether a prefill engine has the KV cache
        """
        chosen = placement.decode_engine
        first_ms = placement.first_token_ms - placement.wait_ms
        if is_prefilled:
            first_ms = placement.handoff_ms
        if open_attempts or not self._slots.is_needed:
            return EngineGrant(placement, SlotGrant(chosen))
        candidates = self._candidates.list_for_run(
            placement,
            frozenset(tried),
            self._context.clock.now_ms(),
            is_prefilled=is_prefilled,
        )
        slot = await self._slots.ask(
            name_pool(self._service, DECODE),
            chosen,
            candidates,
            first_ms,
        )
        return EngineGrant(
            self._candidates.move_run(placement, slot.target), slot
        )

    @contextmanager
    def hold_prefill(
        self, engine: EngineState, grant: EngineGrant
    ) -> Iterator[None]:
        """Count a prefill at an engine, and its slot where slots are few."""
        tokens = grant.placement.prefill_tokens
        run_count = int(self._slots.is_needed)
        engine.own_load.prefill_tokens += tokens
        engine.own_load.run_count += run_count
        try:
            yield
        finally:
            engine.own_load.prefill_tokens -= tokens
            engine.own_load.run_count -= run_count
