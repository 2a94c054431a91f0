"""The HTTP request of a caller, and how its answer is sent."""

import re
from collections.abc import Callable
from typing import Any

from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.ids import new_nonce

REQUEST_ID_HEADER = 'X-Request-Id'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
MAX_ID_LENGTH = 128
EVENT_STREAM_TYPE = 'text/event-stream'

_PRINTABLE_ID = re.compile(r'^[\w.:/@+=-]+$')


class CallerRequest:
    """
    One request of a caller.

    :param http: the twisted request
    :param body: the whole body
    """

    __slots__ = ('_on_gone', 'body', 'http', 'is_gone', 'request_id')

    def __init__(self, http: Any, body: bytes) -> None:
        self.http = http
        self.body = body
        self.is_gone = False
        self._on_gone: Callable[[], None] | None = None
        self.request_id = _choose_request_id(self.header(REQUEST_ID_HEADER))
        http.setHeader(REQUEST_ID_HEADER, self.request_id)

    @classmethod
    def from_http(cls, http: Any) -> 'CallerRequest':
        """Return a request whose body has been received."""
        request = cls(http, http.content.read())
        http.notifyFinish().addErrback(request._mark_gone)
        return request

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.http.method.decode('ascii', 'replace')

    @property
    def uri(self) -> str:
        """Path and query as the caller sent them."""
        return self.http.uri.decode('ascii', 'replace')

    @property
    def idempotency_key(self) -> str:
        """Idempotency key, empty if the caller sent none."""
        return self.header(IDEMPOTENCY_HEADER)

    def header(self, name: str) -> str:
        """Return the value of a header, empty if the caller sent none."""
        return self.http.getHeader(name) or ''

    def read_bearer_key(self) -> str:
        """Return the bearer key, empty if the caller sent none."""
        scheme, _, key = self.header('Authorization').partition(' ')
        if scheme.lower() != 'bearer':
            return ''
        return key.strip()

    def start_stream(self) -> None:
        """Set the headers of a stream of server-sent events."""
        if self.is_gone:
            return
        self.http.setHeader('Content-Type', EVENT_STREAM_TYPE)
        self.http.setHeader('Cache-Control', 'no-cache')

    def send_whole(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a complete answer, unless the caller is gone."""
        if self.is_gone:
            return
        self.http.setResponseCode(status)
        for name, text in headers.items():
            self.http.setHeader(name, text)
        self.http.setHeader('Content-Length', str(len(body)))
        self.http.write(body)

    def send_refusal(self, refused: RequestRefusedError) -> None:
        """Send a refusal, as an event if a stream has already begun."""
        if self.is_gone:
            return
        body = refused.encode_body(self.request_id)
        if self.http.startedWriting:
            self.http.write(b'data: %b\n\n' % body)
            return
        headers = {'Content-Type': 'application/json'}
        if refused.retry_after_ms:
            headers['Retry-After'] = str(refused.compute_retry_after_s())
        self.send_whole(refused.reason.status, headers, body)

    def on_gone(self, action: Callable[[], None]) -> None:
        """Set the function to call when the caller's connection is lost."""
        self._on_gone = action
        if self.is_gone:
            action()

    def _mark_gone(self, _: Any) -> None:
        self.is_gone = True
        if self._on_gone is not None:
            self._on_gone()


def _choose_request_id(given: str) -> str:
    if 0 < len(given) <= MAX_ID_LENGTH and _PRINTABLE_ID.match(given):
        return given
    return new_nonce()
