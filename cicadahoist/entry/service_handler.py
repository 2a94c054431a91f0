"""Calls to plain services: one attempt where they may not be repeated."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.entry.auth import authorize
from cicadahoist.entry.caller import IDEMPOTENCY_HEADER, CallerRequest
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.handling import answer_or_refuse, run_open
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.table import RouteKind, Target

SERVICES_PATH = '/services/'

# No other header of a caller reaches a target.
FORWARDED_HEADERS = (
    'Accept',
    'Accept-Language',
    'Content-Type',
    IDEMPOTENCY_HEADER,
)
RETURNED_HEADERS = (
    'Content-Language',
    'Content-Type',
    'ETag',
    'Last-Modified',
    'Location',
    'Retry-After',
)


class ServiceAnswer:
    """A whole answer of a service."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ServiceHandler:
    """
    Answers calls below ``/services/<route>/``.

    :param context: shared parts of the entry
    """

    __slots__ = ('_context',)

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def answer(self, http: Any) -> None:
        """Answer one call."""
        caller = CallerRequest.from_http(http)
        await answer_or_refuse(
            self._context, caller, lambda: self._authorized(caller)
        )

    async def _authorized(self, caller: CallerRequest) -> None:
        name, _, path = caller.uri.removeprefix(SERVICES_PATH).partition('/')
        grant = authorize(
            self._context.table(), caller, name, RouteKind.service
        )
        request = OpenRequest(caller, grant)
        job = _ServiceJob(self._context, request, f'/{path}')
        await run_open(self._context, request, job.run)


class _ServiceJob:
    """One call over all its attempts."""

    __slots__ = ('_context', '_path', '_request', '_tried')

    def __init__(
        self, context: EntryContext, request: OpenRequest, path: str
    ) -> None:
        self._context = context
        self._request = request
        self._path = path
        self._tried: set[str] = set()

    async def run(self) -> None:
        """Make attempts until one is answered."""
        answer: ServiceAnswer | None = None
        while answer is None and not self._request.is_over:
            answer = await self._attempt(self._choose_target())
        if answer is not None:
            self._request.caller.send_whole(
                answer.status, answer.headers, answer.body
            )

    def _choose_target(self) -> Target:
        try:
            target = self._context.dispatcher.choose(
                self._context.table(), self._request, self._tried
            )
        except RequestRefusedError as refused:
            if not self._request.was_sent:
                raise
            raise RequestRefusedError(
                Refusal.target_failed,
                'all targets broke off',
                retry_after_ms=refused.retry_after_ms,
            ) from refused
        self._tried.add(target.name)
        return target

    async def _attempt(self, target: Target) -> ServiceAnswer | None:
        calling = Deferred.fromCoroutine(self._call(target))
        self._request.on_stop(calling.cancel)
        try:
            return await calling
        except NotSentError:
            self._context.metrics.retried(Retry.connect_failed)
        except LostAfterSendError as lost:
            self._request.was_sent = True
            self._allow_retry(lost)
        finally:
            self._request.end_attempt()
        return None

    async def _call(self, target: Target) -> ServiceAnswer:
        caller = self._request.caller
        response = await self._context.plain_services.call(
            target,
            self._request.begin_attempt(target.name),
            caller.method,
            self._path,
            _forwarded(caller),
            caller.body,
            repeatable=self._request.grant.route.repeatable,
        )
        self._request.was_sent = True
        body = await response.read_body()
        headers = {
            name: response.header(name)
            for name in RETURNED_HEADERS
            if response.header(name)
        }
        return ServiceAnswer(response.status, headers, body)

    def _allow_retry(self, lost: LostAfterSendError) -> None:
        if self._request.is_over:
            return
        if not self._request.grant.route.repeatable:
            raise RequestRefusedError(
                Refusal.target_lost, 'the target broke off'
            ) from lost
        self._context.metrics.retried(Retry.stream_broken)


def _forwarded(caller: CallerRequest) -> dict[str, str]:
    return {
        name: caller.header(name)
        for name in FORWARDED_HEADERS
        if caller.header(name)
    }
