"""Client for the platform's store of versioned objects."""

from typing import Any, Protocol
from urllib.parse import quote

import msgspec

from cicadahoist.config import Config
from cicadahoist.errors import (
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    TargetError,
    VersionConflictError,
)
from cicadahoist.outside.bodies import MAX_PAGE_BYTES
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_NO_CONTENT,
    HTTP_NOT_FOUND,
    HTTP_NOT_MODIFIED,
    HTTP_OK,
    HTTP_PRECONDITION_FAILED,
    HTTP_TOO_LARGE,
    HttpClient,
    TargetResponse,
)
from cicadahoist.registry import Registry
from cicadahoist.settings import STORE_PREFIX, STORE_TIMEOUT, STORE_URL

ABSENT = 0


class Stored(msgspec.Struct, frozen=True):
    """
    An object as read from the store.

    :param version: version of the object, ``ABSENT`` if it does not exist
    :param era: rises each time the store comes back from an older copy
    """

    name: str
    version: int
    payload: bytes
    era: int = 0


class LeaseStore(Protocol):
    """The operations of a store that leases need; see :class:`Store`."""

    async def read(self, name: str) -> Stored | None:
        """Return an object, or none if it does not exist."""

    async def write(self, name: str, payload: bytes, expected: int) -> int:
        """Write an object if its version is still the expected one."""


class Store(LeaseStore, Protocol):
    """
    Versioned objects of up to 1 MiB with conditional updates.

    Every call may raise :exc:`StoreUnavailableError`, after which a write may
    or may not have taken effect, and :exc:`StoreBusyError`, after which it
    has not.
    """

    async def read(self, name: str) -> Stored | None:
        """Return an object, or none if it does not exist."""

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

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Return the version of each object below a prefix, by name."""

    async def watch(self, name: str, after: int, wait_ms: int) -> Stored | None:
        """
        Return the object once its version is above ``after`` (long poll).

        :param wait_ms: how long the store may wait for a change
        :return: none if there was no change in that time
        """


STORES: Registry[Any] = Registry('store adapter')


@STORES.register('http')
class HttpStore:
    """Client for the store over HTTP."""

    __slots__ = ('_base', '_client', '_prefix', '_timeout_ms')

    def __init__(
        self, client: HttpClient, base: str, prefix: str, timeout_ms: int
    ) -> None:
        self._client = client
        self._base = base.rstrip('/')
        self._prefix = prefix
        self._timeout_ms = timeout_ms

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> 'HttpStore':
        """Return a client for the store named in the settings."""
        timeout_ms = config.read(STORE_TIMEOUT)
        return cls(
            HttpClient(reactor, timeout_ms, reuse=True),
            config.read(STORE_URL),
            config.read(STORE_PREFIX),
            timeout_ms,
        )

    async def read(self, name: str) -> Stored | None:
        """Return an object, or none if it does not exist."""
        response = await self._call('GET', self._object_url(name))
        if response.status == HTTP_NOT_FOUND:
            return None
        return await self._read_stored(name, response)

    async def write(self, name: str, payload: bytes, expected: int) -> int:
        """Write an object if its version is still the expected one."""
        headers = {'If-Match': f'"{expected}"'}
        if expected == ABSENT:
            headers = {'If-None-Match': '*'}
        response = await self._call(
            'PUT', self._object_url(name), headers=headers, body=payload
        )
        await self._read_body(response)
        return _parse_version(response)

    async def remove(self, name: str, expected: int) -> None:
        """Remove an object if its version is still the expected one."""
        headers = {'If-Match': f'"{expected}"'}
        response = await self._call(
            'DELETE', self._object_url(name), headers=headers
        )
        await self._read_body(response)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Return the version of each object below a prefix, by name."""
        own_prefix = f'{self._prefix}/'
        response = await self._call(
            'GET', f'{self._base}/names?prefix={quote(own_prefix + prefix)}'
        )
        listed = msgspec.json.decode(
            await self._read_body(response), type=dict[str, int]
        )
        return {
            name.removeprefix(own_prefix): version
            for name, version in listed.items()
        }

    async def watch(self, name: str, after: int, wait_ms: int) -> Stored | None:
        """Return the object once its version is above ``after``, or none."""
        url = self._object_url(name, kind='watch')
        response = await self._call(
            'GET', f'{url}?after={after}&wait_ms={wait_ms}', wait_ms=wait_ms
        )
        if response.status == HTTP_NOT_MODIFIED:
            return None
        return await self._read_stored(name, response)

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()

    def _object_url(self, name: str, kind: str = 'objects') -> str:
        return f'{self._base}/{kind}/{quote(self._prefix)}/{quote(name)}'

    async def _call(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        wait_ms: int = 0,
    ) -> TargetResponse:
        try:
            response = await self._client.call(
                method,
                url,
                headers=headers,
                body=body,
                timeout_ms=self._timeout_ms + wait_ms,
                max_body_bytes=MAX_PAGE_BYTES,
            )
        except TargetError as error:
            raise _build_unavailable_error(error.problem) from error
        if response.status in _EXPECTED_STATUSES:
            return response
        await self._read_body(response)
        raise _build_error(method, url, response.status)

    async def _read_stored(self, name: str, response: TargetResponse) -> Stored:
        payload = await self._read_body(response)
        return Stored(name, _parse_version(response), payload)

    async def _read_body(self, response: TargetResponse) -> bytes:
        try:
            return await response.read_body(self._timeout_ms)
        except TargetError as error:
            raise _build_unavailable_error(error.problem) from error


_EXPECTED_STATUSES = frozenset(
    (HTTP_OK, HTTP_NO_CONTENT, HTTP_NOT_MODIFIED, HTTP_NOT_FOUND)
)


def _parse_version(response: TargetResponse) -> int:
    return int(response.header('ETag').strip('"') or ABSENT)


def _build_error(method: str, url: str, status: int) -> StoreError:
    problem = f'{method} {url}: HTTP {status}'
    if status == HTTP_PRECONDITION_FAILED:
        return VersionConflictError(
            problem, remedy='read the object again and decide anew'
        )
    if status == HTTP_BUSY:
        return StoreBusyError(problem, remedy='send fewer calls')
    if status == HTTP_TOO_LARGE:
        return StoreError(problem, remedy='split the object')
    return _build_unavailable_error(problem)


def _build_unavailable_error(problem: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        problem, remedy='wait for the store; reading the object settles it'
    )
