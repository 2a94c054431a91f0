"""Plain-service stand-in over HTTP."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import ConfigError
from cicadahoist.ids import body_digest
from cicadahoist.standin.faults import NO_FAULT, Fault, serve_fault
from cicadahoist.standin.process import crash
from cicadahoist.standin.seen import SeenCall, SeenCalls
from cicadahoist.standin.web import WebApp, abort, answer, read_body

METHODS = 'GET POST PUT PATCH DELETE'
KNOWN_FAULTS = (
    'none',
    'slow',
    'die-before',
    'die-after',
    'lose-answer',
    'silent',
)
UNANSWERED = frozenset(('lose-answer', 'silent', 'die-after'))


class ServiceSeen(msgspec.Struct, frozen=True):
    """
    Calls that a service received and executed, for checks in tests.

    :param calls: the latest calls
    :param runs_by_key: number of executions by ``Idempotency-Key``
    :param runs_by_body: number of executions by digest of the body
    """

    calls: list[SeenCall]
    runs_by_key: dict[str, int]
    runs_by_body: dict[str, int]


class ServiceRun(msgspec.Struct, frozen=True):
    """
    Answer to an executed call.

    :param run: number of executions by this service so far
    """

    service: str
    method: str
    path: str
    run: int
    body: str


class ServiceServer:
    """
    Executes any call below ``/`` and counts the executions.

    :param name: name of this instance of the service
    :param clock: clock for the delay of slow calls
    """

    __slots__ = (
        '_clock',
        '_fault',
        '_name',
        '_run_count',
        '_runs_by_body',
        '_runs_by_key',
        '_seen_calls',
        'app',
        'crash',
    )

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._fault = NO_FAULT
        self.crash: Callable[[], None] = crash
        self._run_count = 0
        self._runs_by_key: Counter[str] = Counter()
        self._runs_by_body: Counter[str] = Counter()
        self._seen_calls = SeenCalls()
        self.app = WebApp()
        self.app.add('GET', '/healthz', self._health)
        self.app.add('GET', '/standin/seen', self._seen)
        self.app.add('POST', '/standin/fault', serve_fault(self.set_fault))
        self.app.add(METHODS, '/', self._call)
        self.app.add(METHODS, '/<path:path>', self._call)

    def set_fault(self, fault: Fault) -> None:
        """
        Inject a fault, or end it.

        :raises ConfigError: the service has no such fault
        """
        if fault.kind not in KNOWN_FAULTS:
            raise ConfigError(
                f'unknown service fault {fault.kind!r}',
                remedy='choose one of: {0}'.format(', '.join(KNOWN_FAULTS)),
            )
        self._fault = fault

    def seen(self) -> ServiceSeen:
        """Return the calls that the service received and executed."""
        return ServiceSeen(
            self._seen_calls.calls,
            dict(self._runs_by_key),
            dict(self._runs_by_body),
        )

    async def _call(self, request: Any, path: str = '') -> bytes:
        self._seen_calls.add(request)
        body = read_body(request)
        done: Deferred[bytes] = Deferred()
        if self._fault.kind == 'slow':
            # A slow call is executed even if the caller disconnects meanwhile.
            self._clock.call_later(
                self._fault.delay_ms,
                self._run_and_answer,
                done,
                request,
                path,
                body,
            )
        else:
            self._run_and_answer(done, request, path, body)
        return await done

    def _run_and_answer(
        self, done: 'Deferred[bytes]', request: Any, path: str, body: bytes
    ) -> None:
        if self._fault.kind == 'die-before':
            self.crash()
        ran = self._run(request, path, body)
        if self._fault.kind == 'die-after':
            self.crash()
        if self._fault.kind == 'lose-answer':
            abort(request)
        if self._fault.kind not in UNANSWERED and not done.called:
            done.callback(ran)

    def _run(self, request: Any, path: str, body: bytes) -> bytes:
        self._run_count += 1
        self._runs_by_body[body_digest(body)] += 1
        key = request.getHeader('Idempotency-Key')
        if key:
            self._runs_by_key[key] += 1
        return answer(
            request,
            ServiceRun(
                self._name,
                request.method.decode(),
                f'/{path}',
                self._run_count,
                body.decode(errors='replace'),
            ),
        )

    def _health(self, request: Any) -> bytes:
        return b'ok'

    def _seen(self, request: Any) -> bytes:
        return answer(request, self.seen())
