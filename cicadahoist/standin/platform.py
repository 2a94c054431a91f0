"""Platform stand-in over HTTP: target orders, usage, instances, weights."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from cicadahoist.clock import Clock
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_CONFLICT,
    HTTP_UNAVAILABLE,
)
from cicadahoist.outside.platform_messages import (
    ListedInstance,
    ListedInstances,
    RunningTargets,
    TargetOrderAnswer,
    TargetOrderCall,
    UsageReport,
)
from cicadahoist.registry import Registry
from cicadahoist.standin.bucket import TokenBucket
from cicadahoist.standin.faults import Fault, serve_fault
from cicadahoist.standin.platform_instances import LaggedInstanceList
from cicadahoist.standin.platform_targets import (
    Spare,
    TargetCounts,
    TargetMarket,
)
from cicadahoist.standin.platform_usage import UsageCounts, UsageLedger
from cicadahoist.standin.web import (
    WebApp,
    abort,
    answer,
    get_query_argument,
    read_body,
    refuse,
)

RETRY_AFTER_S = 1


class PlatformOptions(msgspec.Struct, frozen=True, kw_only=True):
    """
    Timing and limits of the platform.

    :param arrival_ms: time in ms from an order until the target runs
    :param list_lag_ms: time in ms until a change of the instances is listed
    :param weight_bytes: size of the weights of each model, in bytes
    :param weights_per_s: rate limit of the weight store in fetches per second,
        0 for none
    """

    arrival_ms: int = 5000
    list_lag_ms: int = 2000
    weight_bytes: int = 65_536
    weights_per_s: int = 1


class PlatformSeen(msgspec.Struct, frozen=True):
    """
    Calls that the platform received, for checks in tests.

    :param targets: counts of target orders
    :param cost: cost of bought targets, in thousandths of a unit
    :param usage: counts of usage reports
    :param usage_by_window: reported usage by ``workspace/window``
    :param weights: number of fetches by ``model/version``
    """

    targets: TargetCounts
    cost: float
    usage: UsageCounts
    usage_by_window: dict[str, UsageReport]
    weights: dict[str, int]


class PlatformServer:
    """
    HTTP server with all interfaces of the platform.

    :param options: timing and limits
    :param clock: clock for arrivals, lags and rate limits
    :param spares: targets that can be bought
    :param instances: instances listed from the start
    """

    __slots__ = (
        '_fetch_count_by_weights',
        '_weight_bucket',
        'app',
        'clock',
        'instances',
        'is_in_outage',
        'lose_next',
        'market',
        'options',
        'usage',
    )

    def __init__(
        self,
        options: PlatformOptions,
        clock: Clock,
        spares: list[Spare],
        instances: list[ListedInstance],
    ) -> None:
        self.options = options
        self.clock = clock
        self.is_in_outage = False
        self.lose_next = 0
        self.market = TargetMarket(spares, options.arrival_ms)
        self.usage = UsageLedger()
        self.instances = LaggedInstanceList(instances, options.list_lag_ms)
        self._fetch_count_by_weights: Counter[str] = Counter()
        self._weight_bucket = TokenBucket(options.weights_per_s)
        self.app = self._build_app()

    def set_fault(self, fault: Fault) -> None:
        """
        Inject a fault, or end all faults.

        :raises ConfigError: the platform has no such fault
        """
        PLATFORM_FAULTS.get(fault.kind)(self, fault)

    def seen(self) -> PlatformSeen:
        """Return the calls that the platform received."""
        return PlatformSeen(
            self.market.counts,
            self.market.compute_cost(self.clock.now_ms()),
            self.usage.counts,
            self.usage.by_window,
            dict(self._fetch_count_by_weights),
        )

    def _build_app(self) -> WebApp:
        app = WebApp()
        app.add('POST', '/target-orders', self._submit_order)
        app.add('GET', '/target-orders', self._list_orders)
        app.add('GET', '/targets', self._list_targets)
        app.add('PUT', '/usage/<workspace>/<window>', self._report_usage)
        app.add('GET', '/instances', self._list_instances)
        app.add('GET', '/weights/<model>/<version>', self._fetch_weights)
        app.add('POST', '/standin/instances', self._change_instances)
        app.add('POST', '/standin/fault', serve_fault(self.set_fault))
        app.add('GET', '/standin/seen', self._seen)
        return app

    def _submit_order(self, request: Any) -> bytes:
        if self.is_in_outage:
            return _refuse_in_outage(request)
        order = msgspec.json.decode(read_body(request), type=TargetOrderCall)
        state = self.market.submit_order(order, self.clock.now_ms())
        return self._lose_or_answer(request, answer(request, state))

    def _list_orders(self, request: Any) -> bytes:
        if self.is_in_outage:
            return _refuse_in_outage(request)
        zone = get_query_argument(request, 'zone')
        states = self.market.list_order_states(zone, self.clock.now_ms())
        return answer(request, TargetOrderAnswer(states))

    def _list_targets(self, request: Any) -> bytes:
        if self.is_in_outage:
            return _refuse_in_outage(request)
        zone = get_query_argument(request, 'zone')
        targets = self.market.list_targets(zone, self.clock.now_ms())
        return answer(request, RunningTargets(targets))

    def _report_usage(self, request: Any, workspace: str, window: str) -> bytes:
        if self.is_in_outage:
            return _refuse_in_outage(request)
        usage = msgspec.json.decode(read_body(request), type=UsageReport)
        if not self.usage.record(workspace, window, usage):
            return refuse(request, HTTP_CONFLICT, 'other figures are known')
        return self._lose_or_answer(request, answer(request, usage))

    def _list_instances(self, request: Any) -> bytes:
        if self.is_in_outage:
            return _refuse_in_outage(request)
        listed = self.instances.list_instances(self.clock.now_ms())
        return answer(request, ListedInstances(listed))

    def _fetch_weights(self, request: Any, model: str, version: str) -> bytes:
        if self.is_in_outage:
            return _refuse_in_outage(request)
        if not self._weight_bucket.try_consume(self.clock.now_ms()):
            return refuse(request, HTTP_BUSY, 'rate limit', RETRY_AFTER_S)
        self._fetch_count_by_weights[f'{model}/{version}'] += 1
        return bytes(self.options.weight_bytes)

    def _change_instances(self, request: Any) -> bytes:
        listed = msgspec.json.decode(read_body(request), type=ListedInstances)
        self.instances.replace(listed.instances, self.clock.now_ms())
        return answer(request, listed)

    def _seen(self, request: Any) -> bytes:
        return answer(request, self.seen())

    def _lose_or_answer(self, request: Any, body: bytes) -> bytes:
        if self.lose_next:
            self.lose_next -= 1
            abort(request)
        return body


PLATFORM_FAULTS: Registry[Callable[[PlatformServer, Fault], None]] = Registry(
    'platform fault'
)


@PLATFORM_FAULTS.register('none')
def end_faults(server: PlatformServer, fault: Fault) -> None:
    """End all faults."""
    server.is_in_outage = False
    server.lose_next = 0
    server.market.unavailable_zones.clear()


@PLATFORM_FAULTS.register('outage')
def begin_outage(server: PlatformServer, fault: Fault) -> None:
    """Refuse every call."""
    server.is_in_outage = True


@PLATFORM_FAULTS.register('lose-answers')
def lose_answers(server: PlatformServer, fault: Fault) -> None:
    """Lose the answers of the next ``count`` orders and usage reports."""
    server.lose_next = fault.count


@PLATFORM_FAULTS.register('unavailable')
def make_zone_unavailable(server: PlatformServer, fault: Fault) -> None:
    """Make all targets of the zone ``mark`` unavailable for purchase."""
    server.market.unavailable_zones.add(fault.mark)


@PLATFORM_FAULTS.register('reclaim')
def reclaim_targets(server: PlatformServer, fault: Fault) -> None:
    """Reclaim the target or zone ``mark`` after ``delay_ms``."""
    at_ms = server.clock.now_ms() + fault.delay_ms
    server.market.schedule_reclaim(fault.mark, fault.mark, at_ms)


def _refuse_in_outage(request: Any) -> bytes:
    return refuse(request, HTTP_UNAVAILABLE, 'outage', RETRY_AFTER_S)
