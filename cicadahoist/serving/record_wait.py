"""Lets a request wait until the version of a target is recorded."""

from collections.abc import Callable
from typing import TypeVar

from cicadahoist.requests import InboundRequest
from cicadahoist.rules import RouteRule
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.reply import Reply
from cicadahoist.serving.stream_binding import StreamBinding

MIN_WAIT_MS = 10

Chosen = TypeVar('Chosen')


class RecordWait:
    """
    Waits of one request for the record of software versions.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param route: the route of the request
    :param binding: knows the versions that may not serve the request yet
    :param reply: the reply to the request
    :param deadline: when the request ends
    """

    __slots__ = (
        '_binding',
        '_context',
        '_deadline',
        '_reply',
        '_request',
        '_route',
    )

    def __init__(
        self,
        context: ServingContext,
        request: InboundRequest,
        route: RouteRule,
        binding: StreamBinding,
        reply: Reply,
        deadline: Deadline,
    ) -> None:
        self._binding = binding
        self._context = context
        self._deadline = deadline
        self._reply = reply
        self._request = request
        self._route = route

    async def choose(
        self, choose: Callable[[], Chosen | None]
    ) -> Chosen | None:
        """
        Return what is chosen, while it takes a version that is not recorded.

        :param choose: chooses among targets of recorded versions
        :return: none if there is no target, or none of a recorded version
            within the latency objective
        """
        chosen = choose()
        while chosen is None and self._is_unrecorded_left:
            wait_ms = self._compute_wait_ms()
            if wait_ms <= 0:
                return None
            self._context.meters.count_record_wait()
            await self._binding.wait_for_record(wait_ms)
            chosen = choose()
        return chosen

    async def wait_until_admitted(self, version: str) -> None:
        """Wait until a version is recorded, or the request is over."""
        while not self._binding.admits(version) and not self._reply.is_over:
            # The timer of the deadline, which ends the request, may be late.
            await self._binding.wait_for_record(
                max(MIN_WAIT_MS, self._deadline.remaining_ms)
            )

    @property
    def _is_unrecorded_left(self) -> bool:
        return bool(self._binding.list_barred()) and not self._reply.is_over

    def _compute_wait_ms(self) -> int:
        remaining_ms = self._deadline.remaining_ms
        if self._reply.is_begun:
            return remaining_ms
        age_ms = self._context.clock.now_ms() - self._request.arrived_ms
        return min(remaining_ms, self._route.latency_objective_ms - age_ms)
