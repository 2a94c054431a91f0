"""Store stand-in over HTTP."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import (
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.outside.http import (
    HTTP_BAD_REQUEST,
    HTTP_BUSY,
    HTTP_NO_CONTENT,
    HTTP_NOT_FOUND,
    HTTP_NOT_MODIFIED,
    HTTP_OK,
    HTTP_PRECONDITION_FAILED,
    HTTP_TOO_LARGE,
    HTTP_UNAVAILABLE,
)
from cicadahoist.outside.store import ABSENT, Stored
from cicadahoist.standin.faults import serve_fault
from cicadahoist.standin.objects import WRITE_KINDS, ObjectModel
from cicadahoist.standin.web import (
    WebApp,
    abort,
    answer,
    get_query_argument,
    read_body,
    refuse,
)

RETRY_AFTER_S = 1


class StoreSeen(msgspec.Struct, frozen=True):
    """Calls by kind; ``refused`` counts those over the rate limit again."""

    calls: dict[str, int]


class StoreServer:
    """
    HTTP server of an object model.

    :param model: objects and faults of the store
    :param clock: clock for delays and watches
    """

    __slots__ = ('_clock', '_model', 'app')

    def __init__(self, model: ObjectModel, clock: Clock) -> None:
        self._model = model
        self._clock = clock
        self.app = WebApp()
        self.app.add('GET', '/objects/<path:name>', self._read)
        self.app.add('PUT', '/objects/<path:name>', self._write)
        self.app.add('DELETE', '/objects/<path:name>', self._remove)
        self.app.add('GET', '/names', self._names)
        self.app.add('GET', '/watch/<path:name>', self._watch)
        self.app.add('GET', '/standin/seen', self._seen)
        self.app.add('POST', '/standin/fault', serve_fault(model.set_fault))

    async def _read(self, request: Any, name: str) -> bytes:
        return await self._run_after_delay(
            request,
            'read',
            lambda: _answer_object(request, self._model.get(name)),
        )

    async def _write(self, request: Any, name: str) -> bytes:
        payload = read_body(request)
        expected = _parse_expected_version(request)

        def write() -> bytes:  # noqa: WPS430
            version = self._model.put(name, payload, expected)
            request.setHeader('ETag', f'"{version}"')
            return b''

        return await self._run_after_delay(request, 'write', write)

    async def _remove(self, request: Any, name: str) -> bytes:
        expected = _parse_expected_version(request)

        def remove() -> bytes:  # noqa: WPS430
            found = self._model.get(name) is not None
            self._model.remove(name, expected)
            request.setResponseCode(
                HTTP_NO_CONTENT if found else HTTP_NOT_FOUND
            )
            return b''

        return await self._run_after_delay(request, 'remove', remove)

    async def _names(self, request: Any) -> bytes:
        prefix = get_query_argument(request, 'prefix')
        return await self._run_after_delay(
            request,
            'names',
            lambda: answer(request, self._model.list_versions(prefix)),
        )

    async def _watch(self, request: Any, name: str) -> bytes:
        after = int(get_query_argument(request, 'after', '0'))
        wait_ms = int(get_query_argument(request, 'wait_ms', '0'))
        body = await self._run_after_delay(request, 'watch', bytes)
        if request.code != HTTP_OK:
            return body
        stored = await self._model.wait_for_newer(
            self._clock, name, after, wait_ms
        )
        return self._answer_watch(request, stored)

    def _answer_watch(self, request: Any, stored: Stored | None) -> bytes:
        if self._model.faults.outage:
            return refuse(request, HTTP_UNAVAILABLE, 'outage', RETRY_AFTER_S)
        if stored is None:
            request.setResponseCode(HTTP_NOT_MODIFIED)
            return b''
        return _answer_object(request, stored)

    async def _run_after_delay(
        self, request: Any, kind: str, effect: Callable[[], bytes]
    ) -> bytes:
        done: Deferred[bytes] = Deferred()
        delay_ms = self._model.faults.delay_ms
        if delay_ms:
            # The call takes effect even if the caller disconnects meanwhile.
            self._clock.call_later(
                delay_ms, self._run_and_answer, done, request, kind, effect
            )
        else:
            self._run_and_answer(done, request, kind, effect)
        return await done

    def _run_and_answer(
        self,
        done: 'Deferred[bytes]',
        request: Any,
        kind: str,
        effect: Callable[[], bytes],
    ) -> None:
        body = self._apply(request, kind, effect)
        if kind in WRITE_KINDS and request.code < HTTP_BAD_REQUEST:
            if self._model.loses_answer():
                abort(request)
                return
        if not done.called:
            done.callback(body)

    def _apply(
        self, request: Any, kind: str, effect: Callable[[], bytes]
    ) -> bytes:
        try:
            self._model.admit(kind, self._clock.now_ms())
            return effect()
        except StoreError as error:
            status = _STATUS_BY_ERROR[type(error)]
            retry_after_s = (
                RETRY_AFTER_S if status in _TRANSIENT_STATUSES else 0
            )
            return refuse(request, status, str(error), retry_after_s)

    def _seen(self, request: Any) -> bytes:
        return answer(request, StoreSeen(dict(self._model.calls)))


def _parse_expected_version(request: Any) -> int:
    tag = request.getHeader('If-Match')
    return int(tag.strip('"')) if tag else ABSENT


def _answer_object(request: Any, stored: Stored | None) -> bytes:
    if stored is None:
        return refuse(request, HTTP_NOT_FOUND, 'no such object')
    request.setHeader('ETag', f'"{stored.version}"')
    return stored.payload


_STATUS_BY_ERROR = {
    StoreBusyError: HTTP_BUSY,
    StoreUnavailableError: HTTP_UNAVAILABLE,
    VersionConflictError: HTTP_PRECONDITION_FAILED,
    StoreError: HTTP_TOO_LARGE,
}
_TRANSIENT_STATUSES = frozenset((HTTP_BUSY, HTTP_UNAVAILABLE))
