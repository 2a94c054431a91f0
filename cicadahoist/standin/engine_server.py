"""HTTP server of the engine stand-in."""

from typing import Any

import msgspec

from cicadahoist.clock import Clock
from cicadahoist.errors import TargetError
from cicadahoist.outside.engine_messages import EngineOrder
from cicadahoist.outside.http import (
    HTTP_BAD_GATEWAY,
    HTTP_BAD_REQUEST,
    HTTP_CONFLICT,
    HTTP_LOCKED,
    HTTP_NOT_FOUND,
    HTTP_OK,
    HttpClient,
)
from cicadahoist.standin.engine import Engine
from cicadahoist.standin.engine_completions import EngineCompletions
from cicadahoist.standin.engine_faults import EngineFaults
from cicadahoist.standin.engine_orders import ORDER_KINDS, OrderCounts
from cicadahoist.standin.faults import serve_fault
from cicadahoist.standin.seen import SeenCall, SeenCalls
from cicadahoist.standin.web import (
    WebApp,
    answer,
    get_query_argument,
    read_body,
    refuse,
)

KV_FETCH_TIMEOUT_MS = 1000


class EngineSeen(msgspec.Struct, frozen=True):
    """
    Calls that an engine received, for checks in tests.

    :param calls: the latest calls
    :param attempts: number of requests by attempt
    :param orders: counts of orders and their conflicts
    :param cut_by_order: number of requests that a change of role aborted
    """

    calls: list[SeenCall]
    attempts: dict[str, int]
    orders: OrderCounts
    cut_by_order: int


class KvExport(msgspec.Struct, frozen=True):
    """Body of ``POST /kv/export``."""

    attempt: str


class KvImport(msgspec.Struct, frozen=True):
    """Body of ``POST /kv/import``."""

    handle: str
    source: str


class KvHandle(msgspec.Struct, frozen=True):
    """Handle to a KV cache."""

    handle: str


class KvContent(msgspec.Struct, frozen=True):
    """KV cache as one engine fetches it from another one."""

    digest: int


class EngineServer:
    """
    HTTP server of an engine.

    :param engine: the engine
    :param clock: clock for delayed faults
    :param reactor: reactor of the client for other engines
    """

    __slots__ = (
        '_completions',
        '_engine',
        '_peers',
        '_seen_calls',
        'app',
        'faults',
    )

    def __init__(self, engine: Engine, clock: Clock, reactor: Any) -> None:
        self._engine = engine
        self.faults = EngineFaults(engine, clock)
        self._seen_calls = SeenCalls()
        self._peers = HttpClient(reactor, KV_FETCH_TIMEOUT_MS)
        self._completions = EngineCompletions(
            engine, self.faults, self._seen_calls
        )
        self.app = WebApp()
        self._completions.add_routes(self.app)
        add = self.app.add
        add('GET', '/requests/<attempt>', self._read_state)
        add('DELETE', '/requests/<attempt>', self._cancel)
        add('GET', '/load', self._report_load)
        add('GET', '/cache-events', self._list_cache_events)
        add('POST', '/kv/export', self._export_kv)
        add('POST', '/kv/import', self._import_kv)
        add('GET', '/kv/<handle>', self._read_kv)
        add('GET', '/orders', self._read_orders)
        add('POST', '/orders', self._execute_order)
        add('GET', '/healthz', self._health)
        add('GET', '/standin/seen', self._seen)
        add('POST', '/standin/fault', serve_fault(self.faults.apply))

    def seen(self) -> EngineSeen:
        """Return the calls that the engine received."""
        engine = self._engine
        return EngineSeen(
            self._seen_calls.calls,
            dict(engine.request_count_by_attempt),
            engine.orders.counts,
            engine.cut_job_count,
        )

    def _read_state(self, request: Any, attempt: str) -> bytes:
        return answer(request, self._engine.read_state(attempt))

    def _cancel(self, request: Any, attempt: str) -> bytes:
        self._engine.cancel(attempt)
        self._completions.cut_answer(attempt)
        return answer(request, self._engine.read_state(attempt))

    def _report_load(self, request: Any) -> bytes:
        return answer(request, self._engine.report_load())

    def _list_cache_events(self, request: Any) -> bytes:
        after = int(get_query_argument(request, 'after', '0'))
        return answer(request, self._engine.list_cache_events(after))

    def _export_kv(self, request: Any) -> bytes:
        wanted = msgspec.json.decode(read_body(request), type=KvExport)
        handle = self._engine.export_kv(wanted.attempt)
        if not handle:
            return refuse(request, HTTP_NOT_FOUND, 'no such attempt')
        return answer(request, KvHandle(handle))

    async def _import_kv(self, request: Any) -> bytes:
        wanted = msgspec.json.decode(read_body(request), type=KvImport)
        url = f'{wanted.source}/kv/{wanted.handle}'
        try:
            fetched = await self._peers.call(
                'GET', url, timeout_ms=KV_FETCH_TIMEOUT_MS
            )
            content = await fetched.read_body(KV_FETCH_TIMEOUT_MS)
        except TargetError as error:
            return refuse(request, HTTP_BAD_GATEWAY, str(error))
        if fetched.status != HTTP_OK:
            return refuse(request, HTTP_NOT_FOUND, 'no such handle')
        fetched_kv = msgspec.json.decode(content, type=KvContent)
        self._engine.handles.store(wanted.handle, fetched_kv.digest)
        return answer(request, KvHandle(wanted.handle))

    def _read_kv(self, request: Any, handle: str) -> bytes:
        digest = self._engine.handles.find(handle)
        if digest is None:
            return refuse(request, HTTP_NOT_FOUND, 'no such handle')
        return answer(request, KvContent(digest))

    def _read_orders(self, request: Any) -> bytes:
        return answer(request, self._engine.orders.report())

    def _execute_order(self, request: Any) -> bytes:
        self._seen_calls.add(request)
        order = msgspec.json.decode(read_body(request), type=EngineOrder)
        orders = self._engine.orders
        if order.kind not in ORDER_KINDS:
            return refuse(request, HTTP_BAD_REQUEST, 'unknown kind of order')
        if orders.is_repeated(order):
            return answer(request, orders.report())
        if orders.refuses_stale(order):
            return refuse(request, HTTP_CONFLICT, 'old fencing number')
        if orders.is_overlapping():
            return refuse(request, HTTP_LOCKED, 'another order is in progress')
        for job in self._engine.execute_order(order):
            self._completions.cut_answer(job.attempt)
        return answer(request, orders.report())

    def _health(self, request: Any) -> bytes:
        return b'ok'

    def _seen(self, request: Any) -> bytes:
        return answer(request, self.seen())
