"""Calls to plain services; one that may not be repeated runs once at most."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.entry.attempts import Attempts
from cicadahoist.entry.auth import authorize
from cicadahoist.entry.caller import IDEMPOTENCY_HEADER, CallerRequest
from cicadahoist.entry.claimed import (
    RecordedAnswer,
    answer_once,
    needs_claim,
)
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.handling import answer_or_refuse, run_within_deadline
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.sent_attempt import SentAttempt
from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.ids import body_digest
from cicadahoist.policy.cost import Cost
from cicadahoist.reasons import Retry
from cicadahoist.table import RouteKind

SERVICES_PATH = '/services/'
CALL_COST = Cost(prefill_tokens=1, decode_tokens=1)

# Only these headers of a caller are forwarded, so that no key or cookie
# reaches a target.
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


class ServiceHandler:
    """
    Answers calls below ``/services/<route>/``.

    :param context: shared objects of the entry
    """

    __slots__ = ('_context',)

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def answer(self, http: Any) -> None:
        """Answer one call."""
        caller = CallerRequest.from_http(http)
        await answer_or_refuse(
            self._context, caller, lambda: self._authorize_and_run(caller)
        )

    async def _authorize_and_run(self, caller: CallerRequest) -> None:
        name, _, path = caller.uri.removeprefix(SERVICES_PATH).partition('/')
        grant = authorize(
            self._context.table(), caller, name, RouteKind.service
        )
        call = f'{caller.method} {caller.uri}\n'.encode() + caller.body
        digest = body_digest(call)
        self._context.isolation.check_quarantine(digest)
        request = OpenRequest(caller, grant, digest)
        job = _ServiceJob(self._context, request, f'/{path}')
        await run_within_deadline(self._context, request, job.run)


class _ServiceJob:
    """One service call across all its attempts."""

    __slots__ = ('_attempts', '_context', '_path', '_request')

    def __init__(
        self, context: EntryContext, request: OpenRequest, path: str
    ) -> None:
        self._context = context
        self._request = request
        self._path = path
        self._attempts = Attempts(context, request, CALL_COST)

    async def run(self) -> None:
        """Make attempts until one is answered, and send the answer."""
        await self._attempts.admit()
        try:
            answer = await self._answer_once()
        finally:
            self._attempts.end_request(0)
        if answer is not None:
            self._request.caller.send_whole(
                answer.status, answer.headers, answer.body
            )

    async def _answer_once(self) -> RecordedAnswer | None:
        if needs_claim(self._request):
            return await answer_once(
                self._context, self._request, self._produce_answer
            )
        return await self._produce_answer()

    async def _produce_answer(self) -> RecordedAnswer | None:
        while not self._attempts.is_over:
            sent = await self._attempts.begin_attempt()
            if sent is None:
                break
            calling = Deferred.fromCoroutine(self._call(sent))
            self._request.set_canceller(calling.cancel)
            retry = Retry.connect_failed
            try:
                return await calling
            except NotSentError:
                self._attempts.end_attempt(sent, 0, retry)
            except LostAfterSendError:
                retry = Retry.stream_broken
                self._attempts.end_attempt(sent, 0, retry)
            await self._attempts.pause_before_retry(retry)
        return None

    async def _call(self, sent: SentAttempt) -> RecordedAnswer:
        caller = self._request.caller
        response = await self._context.plain_services.call(
            sent.target,
            sent.attempt_id,
            caller.method,
            self._path,
            _select_forwarded_headers(caller),
            caller.body,
        )
        sent.record_first_token()
        body = await response.read_body()
        self._attempts.end_attempt(sent, 0, None)
        headers = {
            name: response.header(name)
            for name in RETURNED_HEADERS
            if response.header(name)
        }
        return RecordedAnswer(response.status, headers, body)


def _select_forwarded_headers(caller: CallerRequest) -> dict[str, str]:
    return {
        name: caller.header(name)
        for name in FORWARDED_HEADERS
        if caller.header(name)
    }
