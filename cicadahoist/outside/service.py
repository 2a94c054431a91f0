"""Adapter to plain services: any method and path over HTTP."""

from typing import Any, Protocol

from cicadahoist.config import Config
from cicadahoist.outside.http import HttpClient, TargetResponse
from cicadahoist.registry import Registry
from cicadahoist.settings import CONNECT_TIMEOUT
from cicadahoist.table import Target


class ServiceAdapter(Protocol):
    """Calls to the targets of a plain service."""

    async def call(
        self,
        target: Target,
        attempt: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        *,
        repeatable: bool = True,
    ) -> TargetResponse:
        """
        Send one call.

        :param attempt: id of this attempt
        :param headers: the allowed headers of the caller
        :param repeatable: whether the call may run twice; if not, it gets a
            new connection
        :raises NotSentError: no byte was sent
        :raises LostAfterSendError: the call may have run
        """

    async def probe(self, target: Target) -> None:
        """
        Check that a target accepts connections, without sending a byte.

        :raises TargetDownError: the connection was refused
        :raises NotSentError: no connection was made in time
        """


SERVICES: Registry[Any] = Registry('service adapter')


@SERVICES.register('http')
class HttpService:
    """Adapter to plain services over HTTP."""

    __slots__ = ('_unpooled_client', '_pooled_client')

    def __init__(
        self, pooled_client: HttpClient, unpooled_client: HttpClient
    ) -> None:
        self._pooled_client = pooled_client
        self._unpooled_client = unpooled_client

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'HttpService':
        """Return an adapter configured by the settings."""
        timeout_ms = config.read(CONNECT_TIMEOUT)
        return cls(
            HttpClient(reactor, timeout_ms),
            HttpClient(reactor, timeout_ms, reuse=False),
        )

    async def call(
        self,
        target: Target,
        attempt: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        *,
        repeatable: bool = True,
    ) -> TargetResponse:
        """Send one call."""
        client = self._pooled_client if repeatable else self._unpooled_client
        return await client.call(
            method,
            target.url.rstrip('/') + path,
            headers={**headers, 'X-Request-Id': attempt},
            body=body,
        )

    async def probe(self, target: Target) -> None:
        """Check that a target accepts connections."""
        await self._unpooled_client.probe(target.url)

    async def close(self) -> None:
        """Close idle connections."""
        await self._pooled_client.close()
