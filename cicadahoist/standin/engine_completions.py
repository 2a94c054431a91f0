"""HTTP interface for completions of the engine stand-in."""

from typing import Any

import msgspec

from cicadahoist.ids import new_nonce
from cicadahoist.outside.http import (
    HTTP_BAD_REQUEST,
    HTTP_NOT_FOUND,
    HTTP_UNAVAILABLE,
)
from cicadahoist.standin.engine import Engine
from cicadahoist.standin.engine_answers import AnswerEncoder, CompletionBody
from cicadahoist.standin.engine_batch import JobState
from cicadahoist.standin.engine_faults import EngineFaults
from cicadahoist.standin.engine_stream import OpenAnswer
from cicadahoist.standin.seen import SeenCalls
from cicadahoist.standin.web import WebApp, answer, read_body, refuse

DEFAULT_PRIORITY = '5'


class ListedModel(msgspec.Struct, frozen=True):
    """Model in the answer to ``GET /v1/models``."""

    id: str  # noqa: WPS125
    object: str = 'model'  # noqa: WPS125


class ModelList(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/models``."""

    data: list[ListedModel]  # noqa: WPS110
    object: str = 'list'  # noqa: WPS125


class EngineCompletions:
    """
    Answers completion requests and tracks the open answers.

    :param engine: engine that runs the requests
    :param faults: faults injected into the answers
    :param seen_calls: record of the received calls
    """

    __slots__ = ('_answers', '_engine', '_faults', '_seen_calls')

    def __init__(
        self, engine: Engine, faults: EngineFaults, seen_calls: SeenCalls
    ) -> None:
        self._engine = engine
        self._faults = faults
        self._seen_calls = seen_calls
        self._answers: dict[str, OpenAnswer] = {}

    def add_routes(self, app: WebApp) -> None:
        """Add the routes below ``/v1``."""
        app.add('POST', '/v1/completions', self._complete)
        app.add('POST', '/v1/chat/completions', self._complete_chat)
        app.add('GET', '/v1/models', self._list_models)

    def cut_answer(self, attempt: str) -> None:
        """Abort the connection of an open answer."""
        opened = self._answers.get(attempt)
        if opened is not None:
            opened.cut()

    async def _complete(self, request: Any) -> bytes:
        return await self._run(request, chat=False)

    async def _complete_chat(self, request: Any) -> bytes:
        return await self._run(request, chat=True)

    async def _run(self, request: Any, *, chat: bool) -> bytes:
        self._seen_calls.add(request)
        try:
            body = msgspec.json.decode(read_body(request), type=CompletionBody)
        except msgspec.MsgspecError as error:
            return refuse(request, HTTP_BAD_REQUEST, str(error))
        orders = self._engine.orders
        if orders.is_unavailable or orders.is_draining:
            return refuse(request, HTTP_UNAVAILABLE, 'no new work', 1)
        if body.model not in orders.models:
            return refuse(request, HTTP_NOT_FOUND, f'no model {body.model}')
        attempt = request.getHeader('X-Request-Id') or new_nonce()
        opened = OpenAnswer(
            request,
            AnswerEncoder(attempt, body, chat=chat),
            streamed=body.stream,
            cut_after=self._faults.cut_after,
            is_torn=self._faults.is_torn,
            frame_fault=self._faults.frame_fault,
        )
        self._answers[attempt] = opened
        priority = int(request.getHeader('X-Priority') or DEFAULT_PRIORITY)
        emit = self._faults.wrap_emit(body.prompt_text, opened.emit)
        job = self._engine.start_job(body, attempt, priority, emit)
        if job.state is JobState.finished:
            opened.finish_without_tokens(job)
        opened.done.addBoth(self._close_answer, job.attempt)
        return await opened.done

    def _close_answer(self, result: Any, attempt: str) -> Any:
        # If the caller disconnected, its job is still open.
        self._answers.pop(attempt, None)
        self._engine.cancel(attempt)
        return result

    def _list_models(self, request: Any) -> bytes:
        models = [ListedModel(name) for name in self._engine.orders.models]
        return answer(request, ModelList(models))
