"""Requests to models: chosen, sent, relayed, resumed and billed."""

from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.entry.answer_stream import AnswerStream
from cicadahoist.entry.auth import authorize
from cicadahoist.entry.billing import usage_count
from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.events import DONE, Usage, encode_event
from cicadahoist.entry.handling import answer_or_refuse, run_open
from cicadahoist.entry.model_request import ModelRequest
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.entry.stall_watch import StallWatch
from cicadahoist.entry.stream_attempt import AttemptEnd, StreamAttempt
from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.outside.engine import JSON_TYPE
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_OK,
    HTTP_UNAVAILABLE,
    TargetResponse,
)
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.table import RouteKind, Target

HTTP_SERVER_ERROR = 500
CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'

_RETRY_BY_END = {
    AttemptEnd.broken: Retry.stream_broken,
    AttemptEnd.stalled: Retry.target_frozen,
}


class WholeAnswer(msgspec.Struct):
    """The part of a whole answer that the entry reads."""

    choices: list[Any]
    usage: Usage = msgspec.field(default_factory=Usage)


_decode_whole = msgspec.json.Decoder(WholeAnswer).decode


class ModelHandler:
    """
    Answers requests of the usual model interface.

    :param context: shared parts of the entry
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
            self._context, caller, lambda: self._authorized(caller, path)
        )

    async def _authorized(self, caller: CallerRequest, path: str) -> None:
        wanted = ModelRequest.from_body(caller.body, is_chat=path == CHAT_PATH)
        grant = authorize(
            self._context.table(), caller, wanted.fields.model, RouteKind.model
        )
        request = OpenRequest(caller, grant)
        job = _ModelJob(self._context, request, wanted, path)
        await run_open(self._context, request, job.run)


class _ModelJob:
    """One request over all its attempts."""

    __slots__ = (
        '_answer',
        '_context',
        '_path',
        '_request',
        '_tried',
        '_wanted',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        wanted: ModelRequest,
        path: str,
    ) -> None:
        self._context = context
        self._request = request
        self._wanted = wanted
        self._path = path
        self._tried: set[str] = set()
        self._answer = AnswerStream(wants_usage=wanted.wants_usage)

    async def run(self) -> None:
        """Make attempts until one completes the answer."""
        while not self._request.is_over:
            retry = await self._attempt(self._choose_target())
            if retry is None:
                return
            if not self._request.is_over:
                self._allow_retry(retry)
        await self._bill(self._answer.usage)

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

    async def _attempt(self, target: Target) -> Retry | None:
        """Return why another attempt is needed, or none."""
        attempt = self._request.begin_attempt(target.name)
        opening = Deferred.fromCoroutine(
            self._context.engines.open_stream(
                target,
                attempt,
                self._path,
                self._wanted.for_target(self._answer.next_offset),
                self._request.grant.rule.priority,
            )
        )
        started_ms = self._context.clock.now_ms()
        self._request.on_stop(opening.cancel)
        watch = StallWatch(
            self._context, target, attempt, lambda: started_ms, opening.cancel
        )
        try:
            response = await opening
        except NotSentError:
            return Retry.connect_failed
        except LostAfterSendError:
            self._request.was_sent = True
            return Retry.stream_broken
        finally:
            watch.stop()
        self._request.was_sent = True
        try:
            return await self._relay(target, response)
        finally:
            self._request.end_attempt()

    async def _relay(
        self, target: Target, response: TargetResponse
    ) -> Retry | None:
        if response.status in {HTTP_BUSY, HTTP_UNAVAILABLE}:
            response.abort()
            return Retry.target_busy
        if response.status >= HTTP_SERVER_ERROR:
            response.abort()
            return Retry.stream_broken
        if response.status == HTTP_OK and self._wanted.is_stream:
            return await self._relay_stream(target, response)
        return await self._relay_whole(response)

    async def _relay_stream(
        self, target: Target, response: TargetResponse
    ) -> Retry | None:
        caller = self._request.caller
        caller.start_stream()
        self._answer.begin_attempt()
        attempt = StreamAttempt(self._answer, caller, self._context.clock)
        response.deliver(attempt)
        self._request.on_stop(lambda: attempt.end(AttemptEnd.stopped))
        watch = StallWatch(
            self._context,
            target,
            self._request.attempt,
            attempt.heard_ms,
            lambda: attempt.end(AttemptEnd.stalled),
        )
        end = await attempt.ended
        watch.stop()
        if end is not AttemptEnd.complete:
            self._cancel(target)
            return _RETRY_BY_END.get(end, Retry.stream_broken)
        await self._bill(self._answer.usage)
        if not caller.gone:
            caller.http.write(encode_event(DONE))
        return None

    async def _relay_whole(self, response: TargetResponse) -> Retry | None:
        reading = Deferred.fromCoroutine(response.read_body())
        self._request.on_stop(reading.cancel)
        try:
            body = await reading
        except LostAfterSendError:
            return Retry.stream_broken
        if response.status == HTTP_OK:
            try:
                whole = _decode_whole(body)
            except msgspec.MsgspecError:
                return Retry.stream_broken
            await self._bill(whole.usage)
        self._request.caller.send_whole(
            response.status, {'Content-Type': JSON_TYPE}, body
        )
        return None

    def _cancel(self, target: Target) -> None:
        """Free the target of an attempt that nobody waits for."""
        cancelling = Deferred.fromCoroutine(
            self._context.engines.cancel(target, self._request.attempt)
        )
        cancelling.addErrback(lambda _: None)

    async def _bill(self, usage: Usage) -> None:
        if not usage.prompt_tokens:
            if not self._answer.next_offset:
                return
            usage.prompt_tokens = self._wanted.prompt_tokens
        usage.completion_tokens = max(
            usage.completion_tokens, self._answer.next_offset
        )
        await self._context.record_usage(
            usage_count(
                self._request,
                self._context.entry_name,
                usage,
                self._context.usage_window_ms,
            )
        )

    def _allow_retry(self, retry: Retry) -> None:
        """
        Count a retry.

        :raises RequestRefusedError: the route does not allow one
        """
        if retry is not Retry.connect_failed and self._request.was_sent:
            if not self._request.grant.route.repeatable:
                raise RequestRefusedError(
                    Refusal.target_lost, 'the target broke off'
                )
        self._context.metrics.retried(retry)
