"""Binds one stream to the software version that began it."""

from cicadahoist.policy.stream_origins import Origin
from cicadahoist.requests import InboundRequest, RepeatRule
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
        self._is_resumable = route.repeat is RepeatRule.resumable
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

    def bind(self, version: str) -> None:
        """Record that an event of a version is passed on to the caller."""
        if self.version is not None or not self._is_streamed:
            return
        self.version = version
        if self._is_resumable:
            self._exchange.record_begin(
                Origin(self._request.attempt_id, self._service, version)
            )
