"""
Runs a long prompt on a prefill engine and hands over its KV cache.

The KV cache is copied from engine to engine; only its handle passes through
the entry. If any step fails, the decode engine processes the prompt itself.
"""

from twisted.internet.defer import Deferred

from cicadahoist.entry.attempts import Attempts
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.model_request import ModelRequest
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.sent_attempt import SentAttempt
from cicadahoist.entry.stall_watch import StallWatch
from cicadahoist.errors import (
    LostAfterSendError,
    NotSentError,
    RefusedError,
    TargetError,
)
from cicadahoist.log import get_logger
from cicadahoist.outside.bodies import MAX_REPLY_BYTES
from cicadahoist.outside.http import HTTP_OK
from cicadahoist.policy.handoff import ANY_ROLE, PREFILL_ROLES
from cicadahoist.reasons import Retry
from cicadahoist.table import Target

logger = get_logger(__name__)

MAX_ERROR_BYTES = 200


class Handoff:
    """
    The handoff of one request's KV cache.

    :param context: shared objects of the entry
    :param request: the open request
    :param attempts: attempts of the request
    :param model_request: the caller's request
    :param path: path of the model interface
    """

    __slots__ = (
        '_attempts',
        '_context',
        '_handle',
        '_model_request',
        '_path',
        '_request',
        '_source',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        attempts: Attempts,
        model_request: ModelRequest,
        path: str,
    ) -> None:
        self._context = context
        self._request = request
        self._attempts = attempts
        self._model_request = model_request
        self._path = path
        self._handle = ''
        self._source: Target | None = None

    async def prepare(self) -> None:
        """Run the prompt on a prefill engine, if the policy allows it."""
        if not self._is_worthwhile():
            return
        if not self._attempts.can_begin_attempt(PREFILL_ROLES):
            return
        sent = await self._attempts.begin_attempt(PREFILL_ROLES)
        if sent is None:
            return
        retry = await self._prefill(sent)
        self._attempts.end_attempt(sent, 0, retry)
        if retry is None:
            self._source = sent.target
            self._attempts.skip_prefill()
        elif not self._attempts.is_over:
            self._context.metrics.count_retry(Retry.handoff_failed)

    async def import_cache(self, target: Target) -> str:
        """Import the KV cache; return its handle there, empty for none."""
        if self._source is None:
            return ''
        try:
            return await self._context.engines.import_kv(
                target, self._handle, self._source
            )
        except TargetError as error:
            logger.bind(target=target.name).info(
                'KV cache not imported: {0}', error
            )
            self._context.metrics.count_retry(Retry.handoff_failed)
            return ''

    def _is_worthwhile(self) -> bool:
        return self._context.dispatcher.handoffs.is_worthwhile(
            self._attempts.cost, self._request.grant.route
        )

    async def _prefill(self, sent: SentAttempt) -> Retry | None:
        """Export the KV cache; return why that failed, or none."""
        running = Deferred.fromCoroutine(self._run_prefill(sent))
        started_ms = self._context.clock.now_ms()
        self._request.set_canceller(running.cancel)
        watch = StallWatch(
            self._context,
            sent.target,
            sent.attempt_id,
            lambda: started_ms,
            on_silent=lambda: self._skip_prefill(running),
            on_lost=running.cancel,
        )
        try:
            self._handle = await running
        except NotSentError:
            return Retry.connect_failed
        except LostAfterSendError:
            return Retry.stream_broken
        except TargetError:
            return Retry.handoff_failed
        finally:
            watch.stop()
        return None

    def _skip_prefill(self, running: 'Deferred[str]') -> None:
        """Give a silent prefill up if another engine can run the prompt."""
        if self._attempts.can_begin_attempt(ANY_ROLE):
            running.cancel()

    async def _run_prefill(self, sent: SentAttempt) -> str:
        response = await self._context.engines.open_stream(
            sent.target,
            sent.attempt_id,
            self._path,
            self._model_request.encode_for_prefill(),
            self._request.grant.rule.priority,
        )
        # The text of the answer to a prefill is not used.
        response.max_body_bytes = MAX_REPLY_BYTES
        body = await response.read_body()
        if response.status != HTTP_OK:
            raise RefusedError(
                f'prefill: HTTP {response.status} {body[:MAX_ERROR_BYTES]!r}',
                remedy='read what the engine reports',
            )
        sent.record_first_token()
        return await self._context.engines.export_kv(
            sent.target, sent.attempt_id
        )
