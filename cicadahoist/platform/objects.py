"""Client of the platform's object store."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from cicadahoist.errors import (
    AnswerTooLongError,
    HistoryGoneError,
    NotSentError,
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    TargetError,
    VersionConflictError,
    WireError,
)
from cicadahoist.log import get_logger
from cicadahoist.objects import Changes, ObjectPage, StoredObject
from cicadahoist.outside.bodies import MAX_PAGE_BYTES
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_CONFLICT,
    HTTP_NOT_FOUND,
    HTTP_OK,
    HTTP_UNAVAILABLE,
    HttpClient,
)
from cicadahoist.outside.store import ABSENT, Stored
from cicadahoist.platform.names import OBJECTS_PATH, STORE_ERA
from cicadahoist.platform.object_codec import (
    decode_changes,
    decode_object,
    decode_page,
)
from cicadahoist.platform.settings_file import Address

logger = get_logger(__name__)

HTTP_GONE = 410
HTTP_CREATED = 201
# Answers that tell the state of an object. Others may come from elsewhere, and
# state no era.
STATES_OF_OBJECTS = frozenset(
    (HTTP_OK, HTTP_CREATED, HTTP_NOT_FOUND, HTTP_CONFLICT)
)
JSON_HEADERS = {'Content-Type': 'application/json'}

Decoded = TypeVar('Decoded')


class _Answer(msgspec.Struct, frozen=True):
    body: bytes
    era: int


class ObjectStore:
    """
    Client for versioned objects, addressed by kind and name.

    Every call may raise :exc:`StoreUnavailableError`, after which a write may
    or may not have taken effect, and :exc:`StoreBusyError`, after which it has
    not.

    An answer from before the store came back from an older copy counts as none:
    what it tells is gone.

    :param base: base URL of the store
    :param http: client with its own connection pool
    :param timeout_ms: time limit for an answer
    """

    __slots__ = ('_base', '_http', '_timeout_ms', 'era')

    def __init__(self, base: str, http: HttpClient, timeout_ms: int) -> None:
        self._base = base
        self._http = http
        self._timeout_ms = timeout_ms
        # Newest era of the store in any answer.
        self.era = 0

    @classmethod
    def from_address(
        cls, address: Address, http: HttpClient, timeout_ms: int
    ) -> 'ObjectStore':
        """Return a client for the store at an address."""
        base = f'http://{address.host}:{address.port}{OBJECTS_PATH}'
        return cls(base, http, timeout_ms)

    async def read_page(
        self, kind: str, *, after: str = '', may_lag: bool = False
    ) -> ObjectPage:
        """
        Return one page of the objects of a kind, ordered by name.

        :param after: name of the last object of the previous page
        :param may_lag: whether the answer may be seconds old, which costs the
            store less
        """
        query: dict[str, str] = {}
        if after:
            query['after'] = after
        if may_lag:
            query['stale-ok'] = '1'
        answer = await self._call('GET', self._build_url(kind, query=query))
        page = _decode_answer(decode_page, answer)
        return ObjectPage(page.objects, page.has_more, page.as_of, answer.era)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or none if it does not exist."""
        try:
            answer = await self._call('GET', self._build_url(kind, name))
        except ObjectMissingError:
            return None
        return _decode_answer(decode_object, answer)

    async def watch(self, kind: str, after: int, wait_ms: int) -> Changes:
        """
        Return the changes of a kind after a revision (long poll).

        :param after: last revision already processed
        :param wait_ms: how long the store may wait for a change
        :raises HistoryGoneError: the store no longer holds these changes, or
            they are longer than a list
        """
        query = {'watch': str(after), 'wait-ms': str(wait_ms)}
        url = self._build_url(kind, query=query)
        try:
            answer = await self._call('GET', url, extra_ms=wait_ms)
        except StoreAnswerTooLongError as too_long:
            # The same call would be answered by the same changes.
            raise HistoryGoneError(
                f'{kind}: {too_long}', remedy='list the objects again'
            ) from too_long
        seen = _decode_answer(decode_changes, answer)
        return Changes(seen.changes, seen.as_of, answer.era)

    async def create(self, kind: str, name: str, spec: Any) -> int:
        """
        Create an object and return its revision.

        :raises VersionConflictError: the object exists already
        """
        answer = await self._call(
            'POST',
            self._build_url(kind),
            {'metadata': {'name': name}, 'spec': spec},
        )
        return _decode_answer(decode_object, answer).revision

    async def replace(
        self, kind: str, name: str, spec: Any, expected: int = ABSENT
    ) -> int:
        """
        Replace an object and return its revision.

        :param expected: revision to replace, ``ABSENT`` for any
        :raises VersionConflictError: the object has another revision or does
            not exist
        """
        metadata: dict[str, Any] = {'name': name}
        if expected != ABSENT:
            metadata['revision'] = expected
        try:
            answer = await self._call(
                'PUT',
                self._build_url(kind, name),
                {'metadata': metadata, 'spec': spec},
            )
        except ObjectMissingError as missing:
            raise VersionConflictError(
                f'{kind}/{name} does not exist', remedy='create it again'
            ) from missing
        return _decode_answer(decode_object, answer).revision

    async def delete(
        self, kind: str, name: str, expected: int = ABSENT
    ) -> None:
        """
        Remove an object; succeed if it does not exist.

        :param expected: revision to remove, ``ABSENT`` for any
        :raises VersionConflictError: the object has another revision
        """
        query = {} if expected == ABSENT else {'revision': str(expected)}
        try:
            await self._call('DELETE', self._build_url(kind, name, query=query))
        except ObjectMissingError:
            return

    def _build_url(
        self, kind: str, name: str = '', query: dict[str, str] | None = None
    ) -> str:
        path = f'/{quote(kind, safe="")}'
        if name:
            path = f'{path}/{quote(name, safe="")}'
        suffix = f'?{urlencode(query)}' if query else ''
        return f'{self._base}{path}{suffix}'

    async def _call(
        self, method: str, url: str, content: Any = None, extra_ms: int = 0
    ) -> _Answer:
        """Return a successful answer; raise a typed error otherwise."""
        timeout_ms = self._timeout_ms + extra_ms
        body = None if content is None else msgspec.json.encode(content)
        try:
            response = await self._http.call(
                method,
                url,
                headers=JSON_HEADERS if body else None,
                body=body,
                timeout_ms=timeout_ms,
                max_body_bytes=MAX_PAGE_BYTES,
            )
            answer = _Answer(
                await response.read_body(timeout_ms),
                _parse_era(response.header(STORE_ERA)),
            )
        except NotSentError as unsent:
            raise StoreBusyError(
                f'store not reached: {unsent}', remedy='try again later'
            ) from unsent
        except AnswerTooLongError as too_long:
            raise StoreAnswerTooLongError(
                f'store: {too_long}', remedy='read the object to see its state'
            ) from too_long
        except TargetError as lost:
            raise StoreUnavailableError(
                f'store: {lost}', remedy='read the object to see its state'
            ) from lost
        if response.status in STATES_OF_OBJECTS:
            self._check_era(answer.era)
        if response.status in {HTTP_OK, HTTP_CREATED}:
            return answer
        raise _build_error(response.status, f'{method} {url}')

    def _check_era(self, era: int) -> None:
        """
        Record the era of an answer.

        :raises StoreUnavailableError: another answer had a later one
        """
        if era < self.era:
            raise StoreUnavailableError(
                f'store: answer of era {era}, which is over',
                remedy='read the object to see its state',
            )
        self.era = era


class StoreAnswerTooLongError(StoreUnavailableError):
    """The store sent more than an answer may hold."""


class ObjectMissingError(StoreError):
    """The object does not exist."""

    kind = 'object-missing'


class LeaseObjects:
    """
    Adapts the objects of one kind to the store interface of leases.

    :param objects: client for the store
    :param kind: kind of the lease objects
    """

    __slots__ = ('_era', '_kind', '_objects')

    def __init__(self, objects: ObjectStore, kind: str) -> None:
        self._objects = objects
        self._kind = kind
        # Era of the last read, on which writes rely.
        self._era = 0

    async def read(self, name: str) -> Stored:
        """Return an object, an empty one if it does not exist."""
        found = await self._objects.get(self._kind, name)
        self._enter_era(self._objects.era)
        if found is None:
            return Stored(name, ABSENT, b'', self._era)
        payload = msgspec.json.encode(found.spec)
        return Stored(name, found.revision, payload, self._era)

    async def write(self, name: str, payload: bytes, expected: int) -> int:
        """
        Write an object if its revision is still the expected one.

        :param expected: revision to replace, ``ABSENT`` to create
        :return: the new revision
        :raises VersionConflictError: the object has another revision
        :raises StoreUnavailableError: the store has come back from an older
            copy since the last read
        """
        spec = msgspec.json.decode(payload)
        if expected == ABSENT:
            revision = await self._objects.create(self._kind, name, spec)
        else:
            revision = await self._objects.replace(
                self._kind, name, spec, expected
            )
        if self._objects.era != self._era:
            raise StoreUnavailableError(
                f'store: {name} was written in another era than it was read in',
                remedy='read the object to see its state',
            )
        return revision

    def _enter_era(self, era: int) -> None:
        if self._era and era != self._era:
            logger.bind(era=era, before=self._era).warning(
                'the store has come back from an older copy'
            )
        self._era = era


def _parse_era(text: str) -> int:
    return int(text) if text.isdecimal() else 0


def _decode_answer(
    decode: Callable[[bytes], Decoded], answer: _Answer
) -> Decoded:
    try:
        return decode(answer.body)
    except WireError as error:
        raise StoreUnavailableError(
            f'undecodable answer from the store: {error}',
            remedy='check the address of the store in the settings',
        ) from error


def _build_error(status: int, call: str) -> StoreError:
    if status == HTTP_NOT_FOUND:
        return ObjectMissingError(
            f'{call}: object does not exist', remedy='create it'
        )
    if status == HTTP_CONFLICT:
        return VersionConflictError(
            f'{call}: revision conflict', remedy='read the object again'
        )
    if status == HTTP_GONE:
        return HistoryGoneError(
            f'{call}: history no longer held', remedy='list the objects again'
        )
    if status in {HTTP_BUSY, HTTP_UNAVAILABLE}:
        return StoreBusyError(
            f'{call}: HTTP {status}', remedy='try again later'
        )
    return StoreError(f'{call}: HTTP {status}', remedy='correct the call')
