"""HTTP client for the interfaces of the platform."""

from typing import Any

import msgspec

from cicadahoist.clock import MS_PER_S
from cicadahoist.config import Config
from cicadahoist.errors import BusyError, RefusedError
from cicadahoist.outside.bodies import MAX_BODY_BYTES, MAX_REPLY_BYTES
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_CONFLICT,
    HTTP_MULTIPLE_CHOICES,
    HTTP_UNAVAILABLE,
    HttpClient,
    TargetResponse,
)
from cicadahoist.settings import (
    CONNECT_TIMEOUT,
    ORDER_BOUND,
    PLATFORM_CREDENTIAL,
    PLATFORM_TIMEOUT,
    PLATFORM_URL,
)

_BUSY_STATUSES = frozenset((HTTP_BUSY, HTTP_UNAVAILABLE))


class PlatformClient:
    """
    Sends calls to the platform.

    :param pooled_client: client that reuses connections
    :param order_client: client for calls under a lease, whose unsent bytes the
        kernel drops within the order bound
    """

    __slots__ = (
        '_base',
        '_headers',
        '_pooled_client',
        '_order_client',
        '_timeout_ms',
    )

    def __init__(
        self,
        pooled_client: HttpClient,
        order_client: HttpClient,
        base: str,
        credential: str,
        timeout_ms: int,
    ) -> None:
        self._pooled_client = pooled_client
        self._order_client = order_client
        self._base = base.rstrip('/')
        self._timeout_ms = timeout_ms
        self._headers = {'Content-Type': 'application/json'}
        if credential:
            self._headers['Authorization'] = f'Bearer {credential}'

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'PlatformClient':
        """Return a client configured by the settings."""
        connect_ms = config.read(CONNECT_TIMEOUT)
        bound_ms = config.read(ORDER_BOUND)
        return cls(
            HttpClient(reactor, connect_ms, reuse=True),
            HttpClient(reactor, connect_ms, send_timeout_ms=bound_ms),
            config.read(PLATFORM_URL),
            config.read(PLATFORM_CREDENTIAL),
            min(config.read(PLATFORM_TIMEOUT), bound_ms),
        )

    async def get(self, path: str) -> bytes:
        """
        Return the body at a path.

        :raises BusyError: the platform is rate-limiting or unavailable
        """
        response = await self._call(self._pooled_client, 'GET', path)
        return await self._read_success(response, path)

    async def order(self, path: str, order: msgspec.Struct) -> bytes:
        """
        Send an order under a lease.

        :raises BusyError: the order was not accepted
        """
        response = await self._call(self._order_client, 'POST', path, order)
        return await self._read_success(response, path)

    async def put(self, path: str, report: msgspec.Struct) -> int:
        """
        Send a report under a lease and return the status.

        :raises BusyError: the report was not accepted
        """
        response = await self._call(self._order_client, 'PUT', path, report)
        if response.status == HTTP_CONFLICT:
            response.abort()
        else:
            await self._read_success(response, path)
        return response.status

    async def close(self) -> None:
        """Close idle connections."""
        await self._pooled_client.close()

    async def _call(
        self,
        client: HttpClient,
        method: str,
        path: str,
        content: msgspec.Struct | None = None,
    ) -> TargetResponse:
        # Without content, it asks for a list or for weights.
        max_body_bytes = MAX_REPLY_BYTES if content else MAX_BODY_BYTES
        body = None if content is None else msgspec.json.encode(content)
        return await client.call(
            method,
            self._base + path,
            headers=self._headers,
            body=body,
            timeout_ms=self._timeout_ms,
            max_body_bytes=max_body_bytes,
        )

    async def _read_success(self, response: TargetResponse, path: str) -> bytes:
        body = await response.read_body(self._timeout_ms)
        if response.status < HTTP_MULTIPLE_CHOICES:
            return body
        problem = f'{path}: HTTP {response.status}'
        if response.status in _BUSY_STATUSES:
            raise BusyError(
                problem,
                remedy='try again later',
                retry_after_ms=_parse_retry_after_ms(response),
            )
        raise RefusedError(problem, remedy='read what the platform reports')


def _parse_retry_after_ms(response: TargetResponse) -> int:
    seconds = response.header('Retry-After')
    return int(seconds) * MS_PER_S if seconds.isdigit() else 0
