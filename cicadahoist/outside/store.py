"""Store of the platform: versioned objects with conditional updates."""

from typing import Any, Protocol
from urllib.parse import quote

import msgspec
import treq
from twisted.internet import error as network_errors
from twisted.internet.defer import CancelledError
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
)

from cicadahoist.clock import MS_PER_S
from cicadahoist.config import Config
from cicadahoist.errors import (
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.registry import Registry
from cicadahoist.settings import STORE_PREFIX, STORE_TIMEOUT, STORE_URL

ABSENT = 0
MAX_CONNECTIONS = 8

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 412
HTTP_TOO_LARGE = 413
HTTP_BUSY = 429

NETWORK_ERRORS = (
    network_errors.ConnectError,
    network_errors.ConnectionClosed,
    network_errors.TimeoutError,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
    CancelledError,
)


class Stored(msgspec.Struct, frozen=True):
    """An object as read from the store."""

    name: str
    version: int
    payload: bytes


class Store(Protocol):
    """
    Versioned objects of up to 1 MiB.

    Every call may raise :exc:`StoreUnavailableError`, after which a write may
    or may not have taken effect, and :exc:`StoreBusyError`, after which it
    has not.
    """

    async def read(self, name: str) -> Stored | None:
        """Return an object, or none."""

    async def write(self, name: str, payload: bytes, expected: int) -> int:
        """
        Write an object if its version is still the expected one.

        :param expected: the version to replace, ``ABSENT`` to create
        :return: the new version
        :raises VersionConflictError: the object has another version
        """

    async def remove(self, name: str, expected: int) -> None:
        """
        Remove an object if its version is still the expected one.

        :raises VersionConflictError: the object has another version
        """

    async def names(self, prefix: str) -> dict[str, int]:
        """Return names and versions of all objects below a prefix."""

    async def watch(self, name: str, after: int, wait_ms: int) -> Stored | None:
        """Return the object once its version is above ``after``, or none."""


STORES: Registry[Any] = Registry('store adapter')


@STORES.register('http')
class HttpStore:
    """The store over HTTP."""

    __slots__ = ('_agent', '_base', '_prefix', '_reactor', '_timeout_s')

    def __init__(
        self, reactor: Any, base: str, prefix: str, timeout_ms: int
    ) -> None:
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        self._agent: Any = Agent(reactor, pool=pool)
        self._reactor = reactor
        self._base = base.rstrip('/')
        self._prefix = prefix
        self._timeout_s = timeout_ms / MS_PER_S

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'HttpStore':
        """Return the store that the settings name."""
        return cls(
            reactor,
            config.read(STORE_URL),
            config.read(STORE_PREFIX),
            config.read(STORE_TIMEOUT),
        )

    async def read(self, name: str) -> Stored | None:
        """Return an object, or none."""
        response = await self._call('GET', self._object(name))
        if response.code == HTTP_NOT_FOUND:
            return None
        return await self._stored(name, response)

    async def write(self, name: str, payload: bytes, expected: int) -> int:
        """Write an object if its version is still the expected one."""
        headers = {'If-Match': f'"{expected}"'}
        if expected == ABSENT:
            headers = {'If-None-Match': '*'}
        response = await self._call(
            'PUT', self._object(name), headers=headers, data=payload
        )
        await self._body(response)
        return _version(response)

    async def remove(self, name: str, expected: int) -> None:
        """Remove an object if its version is still the expected one."""
        headers = {'If-Match': f'"{expected}"'}
        response = await self._call(
            'DELETE', self._object(name), headers=headers
        )
        await self._body(response)

    async def names(self, prefix: str) -> dict[str, int]:
        """Return names and versions of all objects below a prefix."""
        own = f'{self._prefix}/'
        response = await self._call(
            'GET', f'{self._base}/names', params={'prefix': own + prefix}
        )
        listed = msgspec.json.decode(
            await self._body(response), type=dict[str, int]
        )
        return {
            name.removeprefix(own): version for name, version in listed.items()
        }

    async def watch(self, name: str, after: int, wait_ms: int) -> Stored | None:
        """Return the object once its version is above ``after``, or none."""
        response = await self._call(
            'GET',
            self._object(name, kind='watch'),
            wait_s=wait_ms / MS_PER_S,
            params={'after': str(after), 'wait_ms': str(wait_ms)},
        )
        if response.code == HTTP_NOT_MODIFIED:
            return None
        return await self._stored(name, response)

    def _object(self, name: str, kind: str = 'objects') -> str:
        return f'{self._base}/{kind}/{quote(self._prefix)}/{quote(name)}'

    async def _call(
        self, method: str, url: str, wait_s: float = 0, **options: Any
    ) -> Any:
        try:
            response = await treq.request(
                method,
                url,
                agent=self._agent,
                reactor=self._reactor,
                timeout=self._timeout_s + wait_s,
                **options,
            )
        except NETWORK_ERRORS as error:
            raise StoreUnavailableError(
                f'{method} {url}: {error!r}',
                remedy='wait for the store; reading the object settles it',
            ) from error
        if response.code in _PASSED:
            return response
        await self._body(response)
        raise _failure(method, url, response.code)

    async def _stored(self, name: str, response: Any) -> Stored:
        payload = await self._body(response)
        return Stored(name, _version(response), payload)

    async def _body(self, response: Any) -> bytes:
        try:
            return await treq.content(response)
        except NETWORK_ERRORS as error:
            raise StoreUnavailableError(
                f'answer cut off: {error!r}',
                remedy='wait for the store; reading the object settles it',
            ) from error


_PASSED = frozenset(
    (HTTP_OK, HTTP_NO_CONTENT, HTTP_NOT_MODIFIED, HTTP_NOT_FOUND)
)


def _version(response: Any) -> int:
    tags = response.headers.getRawHeaders('ETag') or ['"0"']
    return int(tags[0].strip('"'))


def _failure(method: str, url: str, code: int) -> StoreError:
    problem = f'{method} {url}: HTTP {code}'
    if code == HTTP_CONFLICT:
        return VersionConflictError(
            problem, remedy='read the object again and decide anew'
        )
    if code == HTTP_BUSY:
        return StoreBusyError(problem, remedy='send fewer calls')
    if code == HTTP_TOO_LARGE:
        return StoreError(problem, remedy='split the object')
    return StoreUnavailableError(
        problem, remedy='wait for the store; reading the object settles it'
    )
