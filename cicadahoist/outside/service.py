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
    ) -> TargetResponse:
        """
        Send one call.

        :param attempt: id of this attempt
        :param headers: the allowed headers of the caller
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

    __slots__ = ('_client',)

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'HttpService':
        """Return an adapter configured by the settings."""
        return cls(HttpClient(reactor, config.read(CONNECT_TIMEOUT)))

    async def call(
        self,
        target: Target,
        attempt: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> TargetResponse:
        """Send one call."""
        return await self._client.call(
            method,
            target.url.rstrip('/') + path,
            headers={**headers, 'X-Request-Id': attempt},
            body=body,
        )

    async def probe(self, target: Target) -> None:
        """Check that a target accepts connections."""
        await self._client.probe(target.url)

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()
