"""Plain services: any method below ``/``, by HTTP."""

from typing import Any, Protocol

from cicadahoist.config import Config
from cicadahoist.outside.http import HttpClient, TargetResponse
from cicadahoist.registry import Registry
from cicadahoist.settings import CONNECT_TIMEOUT
from cicadahoist.table import Target


class ServiceAdapter(Protocol):
    """Calls towards the instances of a plain service."""

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

        :param attempt: identifier of this attempt
        :param headers: the allowed headers of the caller
        :param repeatable: whether the call may run twice; one that may not
            gets a connection of its own
        :raises NotSentError: no byte reached the target
        :raises LostAfterSendError: the call may have run
        """

    async def probe(self, target: Target) -> None:
        """
        Return if a target takes connections; nothing is sent to it.

        :raises TargetDownError: nothing listens there
        :raises NotSentError: the connection was not made in time
        """


SERVICES: Registry[Any] = Registry('service adapter')


@SERVICES.register('http')
class HttpService:
    """Plain services over HTTP."""

    __slots__ = ('_unpooled_client', '_pooled_client')

    def __init__(
        self, pooled_client: HttpClient, unpooled_client: HttpClient
    ) -> None:
        self._pooled_client = pooled_client
        self._unpooled_client = unpooled_client

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'HttpService':
        """Return the adapter that the settings describe."""
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
        """Return if a target takes connections."""
        await self._unpooled_client.probe(target.url)

    async def close(self) -> None:
        """Close kept connections."""
        await self._pooled_client.close()
