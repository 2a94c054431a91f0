"""Adapter to engines: completions, orders and KV cache transfer over HTTP."""

from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import msgspec

from cicadahoist.config import Config
from cicadahoist.errors import BusyError, FencedError, RefusedError
from cicadahoist.outside.bodies import MAX_PAGE_BYTES, MAX_REPLY_BYTES
from cicadahoist.outside.engine_messages import (
    AttemptState,
    CacheEvents,
    CacheHandle,
    EngineLoad,
    EngineOrder,
    EngineOrders,
)
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_CONFLICT,
    HTTP_LOCKED,
    HTTP_MULTIPLE_CHOICES,
    HTTP_UNAVAILABLE,
    HttpClient,
    TargetResponse,
)
from cicadahoist.registry import Registry
from cicadahoist.settings import (
    CONNECT_TIMEOUT,
    ENGINE_CREDENTIAL,
    ORDER_BOUND,
    TARGET_TIMEOUT,
)
from cicadahoist.table import Target

JSON_TYPE = 'application/json'

Reply = TypeVar('Reply')


class EngineAdapter(Protocol):
    """
    Calls to engines.

    Every call may raise :exc:`NotSentError` if no byte was sent, and
    :exc:`LostAfterSendError` if the call may have arrived.
    """

    async def open_stream(
        self,
        target: Target,
        attempt: str,
        path: str,
        body: bytes,
        priority: int,
    ) -> TargetResponse:
        """Start a request and return its answer once headers have arrived."""

    async def cancel(self, target: Target, attempt: str) -> None:
        """Cancel an attempt."""

    async def fetch_attempt_state(
        self, target: Target, attempt: str
    ) -> AttemptState:
        """Return the state of an attempt at the engine."""

    async def fetch_load(self, target: Target) -> EngineLoad:
        """Return the load report, which lags by its ``age_ms``."""

    async def fetch_cache_events(
        self, target: Target, after: int
    ) -> CacheEvents:
        """Return the KV cache events after a sequence number."""

    async def export_kv(self, target: Target, attempt: str) -> str:
        """Return a handle by which others fetch the KV cache of an attempt."""

    async def import_kv(
        self, target: Target, handle: str, source: Target
    ) -> str:
        """Make an engine fetch KV cache from another one; return its handle."""

    async def read_orders(self, target: Target) -> EngineOrders:
        """Return the last order that an engine accepted, and its state."""

    async def send_order(self, target: Target, order: EngineOrder) -> None:
        """
        Send an order.

        :raises FencedError: the engine has seen a newer fencing token
        :raises BusyError: another order is in progress
        """


ENGINES: Registry[Any] = Registry('engine adapter')


@ENGINES.register('openai-http')
class OpenAiHttpEngine:
    """
    Adapter to engines with an OpenAI-compatible interface over HTTP.

    :param client: client for all calls but orders
    :param order_client: client for orders, whose unsent bytes the kernel drops
        within the order bound
    """

    __slots__ = (
        '_client',
        '_credential',
        '_order_bound_ms',
        '_order_client',
        '_timeout_ms',
    )

    def __init__(
        self,
        client: HttpClient,
        order_client: HttpClient,
        credential: str,
        timeout_ms: int,
        order_bound_ms: int,
    ) -> None:
        self._client = client
        self._order_client = order_client
        self._credential = credential
        self._timeout_ms = timeout_ms
        self._order_bound_ms = order_bound_ms

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'OpenAiHttpEngine':
        """Return an adapter configured by the settings."""
        connect_ms = config.read(CONNECT_TIMEOUT)
        bound_ms = config.read(ORDER_BOUND)
        return cls(
            HttpClient(reactor, connect_ms),
            HttpClient(reactor, connect_ms, send_timeout_ms=bound_ms),
            config.read(ENGINE_CREDENTIAL),
            config.read(TARGET_TIMEOUT),
            bound_ms,
        )

    async def open_stream(
        self,
        target: Target,
        attempt: str,
        path: str,
        body: bytes,
        priority: int,
    ) -> TargetResponse:
        """Start a request and return its answer once headers have arrived."""
        headers = self._build_headers()
        headers['X-Request-Id'] = attempt
        headers['X-Priority'] = str(priority)
        return await self._client.call(
            'POST', _build_url(target, path), headers=headers, body=body
        )

    async def cancel(self, target: Target, attempt: str) -> None:
        """Cancel an attempt."""
        await self._call(target, 'DELETE', f'/requests/{quote(attempt)}')

    async def fetch_attempt_state(
        self, target: Target, attempt: str
    ) -> AttemptState:
        """Return the state of an attempt at the engine."""
        answer = await self._call(target, 'GET', f'/requests/{quote(attempt)}')
        return _decode(answer, AttemptState)

    async def fetch_load(self, target: Target) -> EngineLoad:
        """Return the load report, which lags by its ``age_ms``."""
        answer = await self._call(target, 'GET', '/load')
        return _decode(answer, EngineLoad)

    async def fetch_cache_events(
        self, target: Target, after: int
    ) -> CacheEvents:
        """Return the KV cache events after a sequence number."""
        path = f'/cache-events?after={after}'
        answer = await self._call(
            target, 'GET', path, max_body_bytes=MAX_PAGE_BYTES
        )
        return _decode(answer, CacheEvents)

    async def export_kv(self, target: Target, attempt: str) -> str:
        """Return a handle by which others fetch the KV cache of an attempt."""
        body = msgspec.json.encode({'attempt': attempt})
        answer = await self._call(target, 'POST', '/kv/export', body)
        return _decode(answer, CacheHandle).handle

    async def import_kv(
        self, target: Target, handle: str, source: Target
    ) -> str:
        """Make an engine fetch KV cache from another one; return its handle."""
        body = msgspec.json.encode({'handle': handle, 'source': source.url})
        answer = await self._call(target, 'POST', '/kv/import', body)
        return _decode(answer, CacheHandle).handle

    async def read_orders(self, target: Target) -> EngineOrders:
        """Return the last order that an engine accepted, and its state."""
        answer = await self._call(target, 'GET', '/orders')
        return _decode(answer, EngineOrders)

    async def send_order(self, target: Target, order: EngineOrder) -> None:
        """Send an order within the order bound."""
        response = await self._order_client.call(
            'POST',
            _build_url(target, '/orders'),
            headers=self._build_headers(),
            body=msgspec.json.encode(order),
            timeout_ms=self._order_bound_ms,
            max_body_bytes=MAX_REPLY_BYTES,
        )
        await _read_success(response, 'POST /orders', self._order_bound_ms)

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()

    async def _call(
        self,
        target: Target,
        method: str,
        path: str,
        body: bytes | None = None,
        max_body_bytes: int = MAX_REPLY_BYTES,
    ) -> bytes:
        response = await self._client.call(
            method,
            _build_url(target, path),
            headers=self._build_headers(),
            body=body,
            timeout_ms=self._timeout_ms,
            max_body_bytes=max_body_bytes,
        )
        return await _read_success(
            response, f'{method} {path}', self._timeout_ms
        )

    def _build_headers(self) -> dict[str, str]:
        headers = {'Content-Type': JSON_TYPE}
        if self._credential:
            headers['Authorization'] = f'Bearer {self._credential}'
        return headers


def _build_url(target: Target, path: str) -> str:
    return target.url.rstrip('/') + path


def _decode(reply: bytes, kind: type[Reply]) -> Reply:
    try:
        return msgspec.json.decode(reply, type=kind)
    except msgspec.MsgspecError as error:
        raise RefusedError(
            f'undecodable {kind.__name__}: {error}',
            remedy='check the version of the engine',
        ) from error


async def _read_success(
    response: TargetResponse, call_name: str, timeout_ms: int
) -> bytes:
    body = await response.read_body(timeout_ms)
    if response.status < HTTP_MULTIPLE_CHOICES:
        return body
    problem = '{0}: HTTP {1} {2}'.format(
        call_name, response.status, body.decode(errors='replace')
    )
    if response.status == HTTP_CONFLICT:
        raise FencedError(problem, remedy='give the lease up and read it again')
    if response.status in _BUSY_STATUSES:
        raise BusyError(problem, remedy='settle the open order, then try again')
    raise RefusedError(problem, remedy='read what the engine reports')


_BUSY_STATUSES = frozenset((HTTP_LOCKED, HTTP_BUSY, HTTP_UNAVAILABLE))
