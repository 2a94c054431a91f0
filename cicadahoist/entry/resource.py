"""The HTTP interface for callers."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred

from cicadahoist.entry.auth import authenticate, list_allowed_routes
from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.handling import answer_or_refuse
from cicadahoist.entry.model_handler import (
    CHAT_PATH,
    COMPLETION_PATH,
    ModelHandler,
)
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.entry.service_handler import ServiceHandler
from cicadahoist.metrics import render_metrics
from cicadahoist.outside.engine import JSON_TYPE
from cicadahoist.outside.http import HTTP_OK
from cicadahoist.reasons import Refusal

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class EntryResource:
    """
    Routes HTTP requests to their handlers.

    :param context: shared objects of the entry
    :param is_ready: returns whether the balancer may send requests
    """

    app = Klein()

    def __init__(
        self, context: EntryContext, is_ready: Callable[[], bool]
    ) -> None:
        self._context = context
        self._is_ready = is_ready
        self._models = ModelHandler(context)
        self._services = ServiceHandler(context)

    def http_resource(self) -> Any:
        """Return the twisted resource."""
        return self.app.resource()

    @app.route(CHAT_PATH, methods=['POST'])
    def chat(self, http: Any) -> 'Deferred[None]':
        """Answer a chat completion."""
        return run_detached(self._models.answer(http, CHAT_PATH))

    @app.route(COMPLETION_PATH, methods=['POST'])
    def complete(self, http: Any) -> 'Deferred[None]':
        """Answer a text completion."""
        return run_detached(self._models.answer(http, COMPLETION_PATH))

    @app.route('/v1/models', methods=['GET'])
    def models(self, http: Any) -> 'Deferred[None]':
        """List the models that the caller may use."""
        caller = CallerRequest.from_http(http)
        return self._answer(caller, self._list_models)

    @app.route('/services/<path:path>', branch=True)
    def service(self, http: Any, path: str) -> 'Deferred[None]':
        """Call a plain service."""
        return run_detached(self._services.answer(http))

    @app.route('/healthz', methods=['GET'])
    def health(self, http: Any) -> bytes:
        """Report that the process is alive."""
        return b'ok\n'

    @app.route('/readyz', methods=['GET'])
    def ready(self, http: Any) -> bytes:
        """Report whether the balancer may send requests."""
        if self._is_ready():
            return b'ready\n'
        http.setResponseCode(Refusal.not_ready.status)
        return b'not ready\n'

    @app.route('/metrics', methods=['GET'])
    def metrics(self, http: Any) -> bytes:
        """Return all metrics in the text format."""
        http.setHeader('Content-Type', METRICS_TYPE)
        return render_metrics()

    @app.route('/', branch=True)
    def unknown(self, http: Any) -> 'Deferred[None]':
        """Refuse any other path."""
        caller = CallerRequest.from_http(http)
        return self._answer(caller, self._refuse_path)

    def _answer(
        self,
        caller: CallerRequest,
        work: Callable[[CallerRequest], Awaitable[None]],
    ) -> 'Deferred[None]':
        return run_detached(
            answer_or_refuse(self._context, caller, lambda: work(caller))
        )

    async def _list_models(self, caller: CallerRequest) -> None:
        table = self._context.table()
        key = authenticate(table, caller)
        listed = [
            {'id': route.name, 'object': 'model', 'owned_by': 'cicadahoist'}
            for route in list_allowed_routes(table, key.workspace)
        ]
        body = msgspec.json.encode({'object': 'list', 'data': listed})
        caller.send_whole(HTTP_OK, {'Content-Type': JSON_TYPE}, body)

    async def _refuse_path(self, caller: CallerRequest) -> None:
        raise RequestRefusedError(
            Refusal.unknown_route, f'nothing at {caller.uri!r}'
        )


def run_detached(work: Coroutine[Any, Any, None]) -> 'Deferred[None]':
    """
    Start work that continues when the returned deferred is cancelled.

    Klein cancels the deferred of a request whose caller has disconnected. The
    open request decides what happens then: under a claim it runs to its end.
    """
    finished: Deferred[None] = Deferred()
    Deferred.fromCoroutine(work).addBoth(finished.callback)
    return finished
