"""Binds one stream to the software version that began it."""

from cicadahoist.policy.stream_origins import Origin
from cicadahoist.policy.stream_versions.stream_terms import is_recorded_route
from cicadahoist.requests import InboundRequest
from cicadahoist.rules import RouteRule
from cicadahoist.serving.stream_exchange import StreamExchange


class StreamBinding:
    """
    The software version at which one request has to stay.

    What two versions write does not fit together, and targets do not check it.

    :param exchange: knows which version began a stream
    :param request: the caller's request
    :param route: the route of the request
    :param service: the service that serves it
    """

    __slots__ = (
        '_exchange',
        '_is_begun',
        '_is_resumable',
        '_is_streamed',
        '_is_taken_up',
        '_request',
        '_service',
        'version',
    )

    def __init__(
        self,
        exchange: StreamExchange,
        request: InboundRequest,
        route: RouteRule,
        service: str,
    ) -> None:
        self._exchange = exchange
        # Whether an event was passed on to the caller.
        self._is_begun = False
        self._is_resumable = is_recorded_route(route)
        self._is_streamed = route.is_streamed
        self._is_taken_up = route.is_streamed and bool(request.resume_after)
        self._request = request
        self._service = service
        # None while any version may serve the request.
        self.version: str | None = None

    async def resolve(self) -> bool:
        """
        Find the version of a stream that its caller takes up again.

        :return: whether the request may be served: not if its version is
            unknown
        """
        if not self._is_taken_up:
            return True
        self.version = await self._exchange.find_version(
            self._request.resumed_attempt_id, self._service
        )
        return self.version is not None

    def list_barred(self) -> frozenset[str]:
        """Return the listed versions that may not serve the request yet."""
        if not self._is_resumable:
            return frozenset()
        return self._exchange.recorded.versions.list_barred(self._service)

    def admits(self, version: str) -> bool:
        """Return whether events of a version may be passed on now."""
        if self._is_streamed and self.version not in {None, version}:
            return False
        versions = self._exchange.recorded.versions
        return not self._is_resumable or versions.is_recorded(
            self._service, version
        )

    async def wait_for_record(self, timeout_ms: float) -> bool:
        """
        Wait until the record of versions changes.

        :return: whether it did within the time
        """
        return await self._exchange.recorded.wait_for_change(timeout_ms)

    def bind(self, version: str) -> None:
        """Record that an event of a version is passed on to the caller."""
        if self._is_begun or not self._is_streamed:
            return
        self._is_begun = True
        self.version = version
        if not self._is_resumable:
            return
        self._record_origin(self._request.attempt_id, version)
        if self._is_taken_up:
            # Its caller may name either attempt if the stream breaks again.
            self._record_origin(self._request.resumed_attempt_id, version)

    def _record_origin(self, attempt_id: str, version: str) -> None:
        if attempt_id:
            self._exchange.record_begin(
                Origin(attempt_id, self._service, version)
            )
