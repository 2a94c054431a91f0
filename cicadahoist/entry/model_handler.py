"""Handles model requests: attempts, relayed answers, resumption, usage."""

from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.entry.answer_stream import AnswerStream
from cicadahoist.entry.attempts import Attempts
from cicadahoist.entry.auth import authorize
from cicadahoist.entry.caller import EVENT_STREAM_TYPE, CallerRequest
from cicadahoist.entry.claimed import (
    RecordedAnswer,
    answer_once,
    needs_claim,
)
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.events import DONE, Usage, encode_event
from cicadahoist.entry.handling import answer_or_refuse, run_within_deadline
from cicadahoist.entry.handoff import Handoff
from cicadahoist.entry.model_request import ModelRequest
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.sent_attempt import SentAttempt
from cicadahoist.entry.stall_watch import StallWatch
from cicadahoist.entry.stream_attempt import AttemptEnd, StreamAttempt
from cicadahoist.entry.takeover import OpenedAttempt, Takeover
from cicadahoist.errors import LostAfterSendError
from cicadahoist.ids import body_digest
from cicadahoist.outside.engine import JSON_TYPE
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_OK,
    HTTP_UNAVAILABLE,
    TargetResponse,
)
from cicadahoist.reasons import Retry
from cicadahoist.table import RouteKind

HTTP_SERVER_ERROR = 500
CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'

_RETRY_BY_END = {
    AttemptEnd.broken: Retry.stream_broken,
    AttemptEnd.stalled: Retry.target_frozen,
}


class WholeAnswer(msgspec.Struct):
    """The fields of an unstreamed answer that the entry reads."""

    choices: list[Any]
    id: str = ''
    usage: Usage = msgspec.field(default_factory=Usage)


_decode_whole_answer = msgspec.json.Decoder(WholeAnswer).decode


class ModelHandler:
    """
    Answers requests of the OpenAI-compatible model interface.

    :param context: shared objects of the entry
    """

    __slots__ = ('_context',)

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def answer(self, http: Any, path: str) -> None:
        """
        Answer one request.

        :param path: ``CHAT_PATH`` or ``COMPLETION_PATH``
        """
        caller = CallerRequest.from_http(http)
        await answer_or_refuse(
            self._context, caller, lambda: self._authorize_and_run(caller, path)
        )

    async def _authorize_and_run(
        self, caller: CallerRequest, path: str
    ) -> None:
        model_request = ModelRequest.from_body(
            caller.body, is_chat=path == CHAT_PATH
        )
        grant = authorize(
            self._context.table(),
            caller,
            model_request.fields.model,
            RouteKind.model,
        )
        digest = body_digest(caller.body)
        self._context.isolation.check_quarantine(digest)
        request = OpenRequest(caller, grant, digest)
        job = _ModelJob(self._context, request, model_request, path)
        await run_within_deadline(self._context, request, job.run)


class _ModelJob:
    """One model request across all its attempts."""

    __slots__ = (
        '_attempts',
        '_context',
        '_handoff',
        '_model_request',
        '_path',
        '_request',
        '_stream',
        '_whole_answer',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        model_request: ModelRequest,
        path: str,
    ) -> None:
        self._context = context
        self._request = request
        self._model_request = model_request
        self._path = path
        self._whole_answer: RecordedAnswer | None = None
        self._stream = AnswerStream(wants_usage=model_request.wants_usage)
        cost = context.dispatcher.costs.estimate(
            request.grant.workspace,
            request.grant.route.name,
            model_request.prompt_tokens,
            0,
            model_request.max_tokens,
        )
        self._attempts = Attempts(
            context, request, cost, model_request.hash_prompt_blocks()
        )
        self._handoff = Handoff(
            context, request, self._attempts, model_request, path
        )

    async def run(self) -> None:
        """Make attempts until one completes the answer."""
        await self._attempts.admit()
        try:
            await self._run_once()
        finally:
            usage = self._stream.usage
            self._attempts.end_request(
                usage.prompt_tokens + usage.completion_tokens
            )

    async def encode_body(self, sent: SentAttempt) -> bytes:
        """Return the body for a target, which resumes a broken stream."""
        handle = await self._handoff.import_cache(sent.target)
        return self._model_request.encode_for_target(
            self._stream.next_offset, handle
        )

    async def send(self, sent: SentAttempt, body: bytes) -> TargetResponse:
        """Send a body to a target and return its answer."""
        return await self._context.engines.open_stream(
            sent.target,
            sent.attempt_id,
            self._path,
            body,
            self._request.grant.rule.priority,
        )

    def find_rejection(self, response: TargetResponse) -> Retry | None:
        """
        Return why a target did not accept the request, or none if it did.

        Once a stream has begun, only its continuation can be relayed.
        """
        if response.status in {HTTP_BUSY, HTTP_UNAVAILABLE}:
            return Retry.target_busy
        if response.status >= HTTP_SERVER_ERROR:
            return Retry.stream_broken
        if self._stream.has_begun and response.status != HTTP_OK:
            return Retry.target_failed
        return None

    async def _run_once(self) -> None:
        if not needs_claim(self._request):
            await self._run_attempts()
            return
        self._stream.record = []
        answer = await answer_once(
            self._context, self._request, self._produce_record
        )
        if self._whole_answer is None and not self._stream.record:
            self._request.caller.send_whole(
                answer.status, answer.headers, answer.body
            )

    async def _produce_record(self) -> RecordedAnswer | None:
        await self._run_attempts()
        if self._whole_answer is not None or not self._stream.is_complete:
            return self._whole_answer
        events = [*(self._stream.record or []), encode_event(DONE)]
        headers = {'Content-Type': EVENT_STREAM_TYPE}
        return RecordedAnswer(HTTP_OK, headers, b''.join(events))

    async def _run_attempts(self) -> None:
        await self._handoff.prepare()
        while not self._attempts.is_over:
            sent = await self._attempts.begin_attempt()
            if sent is None:
                break
            retry = await self._make_attempt(sent)
            if retry is None:
                return
            await self._attempts.pause_before_retry(retry)
        if self._request.was_ended_by_caller:
            await self._bill()

    async def _make_attempt(self, sent: SentAttempt) -> Retry | None:
        """
        Run an attempt, and those that take over from it.

        :return: why another is needed, none after a complete answer
        """
        result: OpenedAttempt | Retry | None
        result = await self._make_takeover().open(sent)
        while isinstance(result, OpenedAttempt):
            result = await self._relay(result)
        return result

    def _make_takeover(self) -> Takeover:
        return Takeover(self._context, self._request, self._attempts, self)

    async def _relay(
        self, opened: OpenedAttempt
    ) -> OpenedAttempt | Retry | None:
        """Relay an answer; return the attempt that takes over, if any."""
        if opened.response.status == HTTP_OK and self._model_request.is_stream:
            return await self._relay_stream(opened)
        retry = await self._relay_whole(opened)
        self._attempts.end_attempt(opened.sent, self._stream.next_offset, retry)
        return retry

    async def _relay_stream(
        self, opened: OpenedAttempt
    ) -> OpenedAttempt | Retry | None:
        sent = opened.sent
        caller = self._request.caller
        caller.start_stream()
        self._stream.begin_attempt(self._format_answer_id(sent))
        takeover = self._make_takeover()
        attempt = StreamAttempt(
            self._stream,
            caller,
            self._context.clock,
            sent.record_first_token,
            takeover.withdraw,
        )
        watch = StallWatch(
            self._context,
            sent.target,
            sent.attempt_id,
            attempt.get_last_activity_ms,
            on_silent=takeover.add_attempt,
            on_lost=lambda: attempt.end(AttemptEnd.stalled),
        )
        takeover.guard(watch, lambda: attempt.end(AttemptEnd.stalled))
        opened.response.deliver(attempt)
        self._request.set_canceller(lambda: attempt.end(AttemptEnd.stopped))
        try:
            end = await attempt.ended
        finally:
            watch.stop()
        if end is AttemptEnd.complete:
            takeover.close()
            await self._end_stream()
            self._attempts.end_attempt(sent, self._stream.next_offset, None)
            return None
        sent.cancel_on_target()
        retry = _RETRY_BY_END.get(end, Retry.stream_broken)
        self._attempts.end_attempt(sent, self._stream.next_offset, retry)
        return await takeover.finish(retry)

    async def _end_stream(self) -> None:
        await self._bill()
        if not self._request.caller.is_gone:
            self._request.caller.http.write(encode_event(DONE))

    async def _relay_whole(self, opened: OpenedAttempt) -> Retry | None:
        response = opened.response
        reading = Deferred.fromCoroutine(
            response.read_body(accepts_unframed=response.status == HTTP_OK)
        )
        self._request.set_canceller(reading.cancel)
        try:
            body = await reading
        except LostAfterSendError:
            return Retry.stream_broken
        if response.status == HTTP_OK:
            try:
                decoded = _decode_whole_answer(body)
            except msgspec.MsgspecError:
                return Retry.stream_broken
            if self._format_answer_id(opened.sent) not in {'', decoded.id}:
                return Retry.stream_broken
            opened.sent.record_first_token()
            self._stream.usage = decoded.usage
            self._stream.next_offset = decoded.usage.completion_tokens
            await self._bill()
        whole = RecordedAnswer(
            response.status, {'Content-Type': JSON_TYPE}, body
        )
        self._whole_answer = whole
        self._request.caller.send_whole(whole.status, whole.headers, body)
        return None

    def _format_answer_id(self, sent: SentAttempt) -> str:
        """Return the expected id of an attempt's answer, empty if unknown."""
        form = self._context.answer_id_form
        return form.format(attempt=sent.attempt_id)

    async def _bill(self) -> None:
        """Record the usage before the caller receives the end of the answer."""
        usage = self._stream.usage
        if not usage.prompt_tokens:
            if not self._stream.next_offset:
                return
            usage.prompt_tokens = self._model_request.prompt_tokens
        usage.completion_tokens = max(
            usage.completion_tokens, self._stream.next_offset
        )
        grant = self._request.grant
        self._context.dispatcher.costs.observe(
            grant.workspace,
            grant.route.name,
            usage.prompt_tokens,
            usage.completion_tokens,
        )
        await self._context.billing.record(self._request, usage)
