"""Admission of callers' requests by configuration, route and key."""

from collections.abc import Callable
from functools import partial

from cicadahoist.errors import CallerError
from cicadahoist.log import get_logger
from cicadahoist.policy.caller_admission.departure import Departure
from cicadahoist.policy.placement import estimate_engine_ms
from cicadahoist.reasons import Refusal
from cicadahoist.requests import InboundRequest
from cicadahoist.rules import CallerLimits, Deployment, KeyHolder, RouteRule
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.flow import Flow, launch
from cicadahoist.serving.inbound import Exchange
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.model_flow import FreeHandle, ModelFlow
from cicadahoist.serving.plain_flow import PlainFlow
from cicadahoist.serving.reply import MIN_RETRY_AFTER_MS
from cicadahoist.serving.request_reader import RawRequest

logger = get_logger(__name__)

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
# Another instance may have a current table, so that a retry can succeed soon.
OTHER_INSTANCE_RETRY_AFTER_MS = 100
STARTUP_RETRY_AFTER_MS = 300
MAX_URGENCY = 9


class AnsweredRequest:
    """Stands for a request that was answered immediately."""

    __slots__ = ()

    def caller_left(self) -> None:
        """Do nothing: the request is over."""

    def give_up(self) -> None:
        """Do nothing: the request is over."""

    def pause(self) -> None:
        """Do nothing: the answer was sent."""

    def resume(self) -> None:
        """Do nothing: the answer was sent."""


ANSWERED_REQUEST = AnsweredRequest()


class Front:
    """
    Admits requests and starts the flow that handles each of them.

    :param context: shared parts of the data path
    :param may_use_keys: returns whether the configuration is recent enough to
        rely on its keys
    :param free_cache: frees a KV cache that no attempt will use
    """

    __slots__ = (
        '_context',
        '_free_cache',
        '_may_use_keys',
        'departure',
    )

    def __init__(
        self,
        context: ServingContext,
        may_use_keys: Callable[[], bool],
        free_cache: FreeHandle,
    ) -> None:
        self._context = context
        self._may_use_keys = may_use_keys
        self._free_cache = free_cache
        self.departure = Departure()

    def get_limits(self, since_ms: int) -> CallerLimits:
        """Return the limits for what a caller began at a time."""
        return self._context.get_caller_limits(since_ms)

    @property
    def is_leaving(self) -> bool:
        """Whether connections are to be closed after their answers."""
        return self.departure.is_begun

    @property
    def meters(self) -> Meters:
        """Metrics of the data path."""
        return self._context.meters

    def handle(
        self, raw: RawRequest, exchange: Exchange
    ) -> 'Flow | AnsweredRequest':
        """Start to handle a request, or answer it immediately."""
        try:
            request = self._context.dialect.request_from(
                raw.method, raw.path, raw.headers, raw.body
            )
        except CallerError as error:
            logger.info('malformed request: {0}', error)
            self._answer(exchange, None, HTTP_BAD_REQUEST, Refusal.bad_request)
            return ANSWERED_REQUEST
        request.arrived_ms = raw.since_ms
        request.read_ms = self._context.clock.now_ms()
        self._context.meters.record_read_wait(
            request.read_ms - request.arrived_ms
        )
        if self.departure.is_over:
            return self._refuse_leaving(exchange, request)
        deployment = self._context.deployment
        if deployment is None:
            self._refuse(
                exchange, request, Refusal.not_ready, STARTUP_RETRY_AFTER_MS
            )
            return ANSWERED_REQUEST
        return self._admit(deployment, request, exchange)

    def _admit(
        self,
        deployment: Deployment,
        request: InboundRequest,
        exchange: Exchange,
    ) -> 'Flow | AnsweredRequest':
        path = request.path.partition(b'?')[0].decode('latin-1')
        route = deployment.find_route(request.host, path)
        holders = deployment.holder_by_key
        is_open = route is not None and (route.is_open or holders is None)
        if not is_open and not self._may_use_keys():
            # The key may have been withdrawn, or the route may be newer than
            # the configuration of this instance.
            self._refuse(
                exchange,
                request,
                Refusal.stale_table,
                OTHER_INSTANCE_RETRY_AFTER_MS,
            )
            return ANSWERED_REQUEST
        if route is None:
            self._answer(
                exchange, request, HTTP_NOT_FOUND, Refusal.unknown_route
            )
            return ANSWERED_REQUEST
        holder = holders.get(request.key) if holders else None
        if holder is None and not is_open:
            reason = Refusal.wrong_key if request.key else Refusal.no_key
            self._answer(exchange, request, HTTP_UNAUTHORIZED, reason)
            return ANSWERED_REQUEST
        if not request.attempt_id:
            self._answer(
                exchange, request, HTTP_BAD_REQUEST, Refusal.bad_request
            )
            return ANSWERED_REQUEST
        due_ms = Deadline.from_request(
            request, route, self._context.clock
        ).due_ms
        if not self.departure.admits(self._context.clock.now_ms(), due_ms):
            return self._refuse_leaving(exchange, request)
        flow = self._create_flow(request, route, holder, exchange)
        if flow.gate.is_open:
            self._start(flow, request)
        else:
            # While the home of the quota is asked, the caller may leave and
            # the deadline may pass, as at any time later.
            start = partial(self._start, flow, request)
            launch(flow.gate.admit(start), flow.fail_on_defect)
        return flow

    def _create_flow(
        self,
        request: InboundRequest,
        route: RouteRule,
        holder: KeyHolder | None,
        exchange: Exchange,
    ) -> Flow:
        priority = route.priority
        if holder is not None and holder.priority is not None:
            priority = holder.priority
        work = request.work if route.uses_engines else None
        flow_class = PlainFlow if work is None else ModelFlow
        flow = flow_class(
            self._context,
            request,
            route,
            holder.workspace if holder else '',
            exchange,
            min(MAX_URGENCY, priority),
        )
        if isinstance(flow, ModelFlow) and work is not None:
            flow.with_work(work, self._free_cache)
        return flow

    def _start(self, flow: Flow, request: InboundRequest) -> None:
        """Start an admitted request; one beyond its quota is no demand."""
        if isinstance(flow, ModelFlow) and request.work is not None:
            self._context.demand.record_arrival(
                estimate_engine_ms(request.work), self._context.clock.now_ms()
            )
        flow.start()

    def _refuse_leaving(
        self, exchange: Exchange, request: InboundRequest
    ) -> AnsweredRequest:
        """Send a request elsewhere that this instance would cut off."""
        self._refuse(exchange, request, Refusal.leaving, MIN_RETRY_AFTER_MS)
        return ANSWERED_REQUEST

    def _refuse(
        self,
        exchange: Exchange,
        request: InboundRequest,
        reason: Refusal,
        retry_after_ms: int,
    ) -> None:
        self._answer(
            exchange, request, HTTP_UNAVAILABLE, reason, retry_after_ms
        )

    def _answer(
        self,
        exchange: Exchange,
        request: InboundRequest | None,
        status: int,
        reason: Refusal,
        retry_after_ms: int | None = None,
    ) -> None:
        logger.bind(
            request=request.attempt_id if request else '',
            reason=reason.name,
            status=status,
            version=self._context.version,
            config_age_ms=self._context.config_age_ms,
        ).info('request refused')
        self._context.meters.count_refusal(reason)
        exchange.answer(
            status, self._context.dialect.own_headers(request, retry_after_ms)
        )
