"""Admission of callers' requests by configuration, route and key."""

from collections.abc import Callable
from functools import partial

from cicadahoist.errors import CallerError
from cicadahoist.log import get_logger
from cicadahoist.policy.caller_admission.departure import Departure
from cicadahoist.policy.caller_admission.memory_budget import MemoryBudget
from cicadahoist.policy.placement import estimate_engine_ms
from cicadahoist.reasons import Refusal
from cicadahoist.requests import BodyHold, InboundRequest
from cicadahoist.rules import CallerLimits, Deployment, KeyHolder, RouteRule
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deadline import Deadline
from cicadahoist.serving.flow import Flow, launch
from cicadahoist.serving.inbound import Exchange
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.model_flow import FreeHandle, ModelFlow
from cicadahoist.serving.plain_flow import PlainFlow
from cicadahoist.serving.reply import MIN_RETRY_AFTER_MS
from cicadahoist.serving.request_reader import HeadRefusal, RawRequest

logger = get_logger(__name__)

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
# Another instance may have a current table, so that a retry can succeed soon.
OTHER_INSTANCE_RETRY_AFTER_MS = 100
STARTUP_RETRY_AFTER_MS = 300
# Bodies that are read or sent when there is no room are mostly gone by then.
MEMORY_RETRY_AFTER_MS = 500
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

    @property
    def memory(self) -> MemoryBudget:
        """Memory that may be spent on callers."""
        return self._context.memory

    def check_head(self, raw: RawRequest) -> HeadRefusal | None:
        """Return how a request is refused whatever its body is."""
        decoded = self._decode(raw)
        if isinstance(decoded, _Denial):
            return self._deny(None, decoded)
        judged = self._judge(decoded)
        if isinstance(judged, _Denial):
            return self._deny(decoded, judged)
        return None

    def refuse_for_memory(self, raw: RawRequest) -> HeadRefusal:
        """Return how a request is refused for whose body there is no room."""
        decoded = self._decode(raw)
        request = None if isinstance(decoded, _Denial) else decoded
        denial = _Denial(
            HTTP_UNAVAILABLE, Refusal.memory_full, MEMORY_RETRY_AFTER_MS
        )
        return self._deny(request, denial)

    def handle(
        self, raw: RawRequest, exchange: Exchange
    ) -> 'Flow | AnsweredRequest':
        """Start to handle a request, or answer it immediately."""
        request = self._decode(raw)
        if isinstance(request, _Denial):
            return self._answer(exchange, None, request, raw.hold)
        request.arrived_ms = raw.since_ms
        request.read_ms = self._context.clock.now_ms()
        request.hold = raw.hold
        self._context.meters.record_read_wait(
            request.read_ms - request.arrived_ms
        )
        judged = self._judge(request)
        if isinstance(judged, _Denial):
            return self._answer(exchange, request, judged, raw.hold)
        return self._admit(request, *judged, exchange)

    def _decode(self, raw: RawRequest) -> 'InboundRequest | _Denial':
        try:
            return self._context.dialect.request_from(
                raw.method, raw.path, raw.headers, raw.body
            )
        except CallerError as error:
            logger.info('malformed request: {0}', error)
            return _Denial(HTTP_BAD_REQUEST, Refusal.bad_request)

    def _judge(
        self, request: InboundRequest
    ) -> 'tuple[RouteRule, KeyHolder | None] | _Denial':
        """Return the route of a request and whose it is, or why it has none."""
        if self.departure.is_over:
            return _LEAVING
        if self._context.deployment is None:
            return _NOT_READY
        return self._find_route(self._context.deployment, request)

    def _find_route(
        self, deployment: Deployment, request: InboundRequest
    ) -> 'tuple[RouteRule, KeyHolder | None] | _Denial':
        path = request.path.partition(b'?')[0].decode('latin-1')
        route = deployment.find_route(request.host, path)
        holders = deployment.holder_by_key
        is_open = route is not None and (route.is_open or holders is None)
        if not is_open and not self._may_use_keys():
            # The key may have been withdrawn, or the route may be newer than
            # the configuration of this instance.
            return _Denial(
                HTTP_UNAVAILABLE,
                Refusal.stale_table,
                OTHER_INSTANCE_RETRY_AFTER_MS,
            )
        if route is None:
            return _Denial(HTTP_NOT_FOUND, Refusal.unknown_route)
        holder = holders.get(request.key) if holders else None
        if holder is None and not is_open:
            reason = Refusal.wrong_key if request.key else Refusal.no_key
            return _Denial(HTTP_UNAUTHORIZED, reason)
        if not request.attempt_id:
            return _Denial(HTTP_BAD_REQUEST, Refusal.bad_request)
        return route, holder

    def _admit(
        self,
        request: InboundRequest,
        route: RouteRule,
        holder: KeyHolder | None,
        exchange: Exchange,
    ) -> 'Flow | AnsweredRequest':
        due_ms = Deadline.from_request(
            request, route, self._context.clock
        ).due_ms
        if not self.departure.admits(self._context.clock.now_ms(), due_ms):
            return self._answer(exchange, request, _LEAVING, request.hold)
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

    def _answer(
        self,
        exchange: Exchange,
        request: InboundRequest | None,
        denial: '_Denial',
        hold: BodyHold | None,
    ) -> AnsweredRequest:
        """
        Answer a request that goes to no target.

        :param hold: the memory for its body, which is given back
        """
        if hold is not None:
            hold.release()
        refusal = self._deny(request, denial)
        exchange.answer(refusal.status, refusal.headers)
        return ANSWERED_REQUEST

    def _deny(
        self, request: InboundRequest | None, denial: '_Denial'
    ) -> HeadRefusal:
        """Log and count a refusal, and return its answer."""
        logger.bind(
            request=request.attempt_id if request else '',
            reason=denial.reason.name,
            status=denial.status,
            version=self._context.version,
            config_age_ms=self._context.config_age_ms,
        ).info('request refused')
        self._context.meters.count_refusal(denial.reason)
        return HeadRefusal(
            denial.status,
            self._context.dialect.own_headers(request, denial.retry_after_ms),
        )


class _Denial:
    """
    Refusal of a request that goes to no target.

    :param status: status of the answer
    :param reason: reason for the log and the metrics
    :param retry_after_ms: time after which a retry can succeed, none if none
        can
    """

    __slots__ = ('reason', 'retry_after_ms', 'status')

    def __init__(
        self, status: int, reason: Refusal, retry_after_ms: int | None = None
    ) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


# A request that this instance would cut off is sent elsewhere.
_LEAVING = _Denial(HTTP_UNAVAILABLE, Refusal.leaving, MIN_RETRY_AFTER_MS)
_NOT_READY = _Denial(
    HTTP_UNAVAILABLE, Refusal.not_ready, STARTUP_RETRY_AFTER_MS
)
