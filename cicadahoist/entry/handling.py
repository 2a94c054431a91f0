"""Common handling of all requests: deadline, refusals, log."""

from collections.abc import Awaitable, Callable
from functools import partial

from cicadahoist.clock import Clock
from cicadahoist.entry.auth import check_table_age
from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.log import get_logger
from cicadahoist.reasons import Outcome, Refusal

logger = get_logger(__name__)


async def answer_or_refuse(
    context: EntryContext,
    caller: CallerRequest,
    work: Callable[[], Awaitable[None]],
) -> None:
    """Run the work of a request and send the refusal that it raises, if any."""
    try:
        await _run_typed(caller, work)
    except RequestRefusedError as refused:
        context.metrics.count_refusal(refused.reason)
        logger.bind(
            request=caller.request_id,
            reason=refused.reason.code,
            outcome=refused.outcome.value,
        ).info('refused')
        caller.send_refusal(refused)


async def _run_typed(
    caller: CallerRequest, work: Callable[[], Awaitable[None]]
) -> None:
    """
    Run the work of a request and convert any other error to a refusal.

    :raises RequestRefusedError: the work failed or was refused
    """
    try:
        await work()
    except RequestRefusedError:
        raise
    except Exception as error:
        logger.bind(request=caller.request_id).exception(
            'request failed: unexpected error'
        )
        raise RequestRefusedError(
            Refusal.internal_error, 'the entry met an error of its own'
        ) from error


async def run_within_deadline(
    context: EntryContext,
    request: OpenRequest,
    work: Callable[[], Awaitable[None]],
) -> None:
    """
    Run the work of an authorized request within its deadline.

    :raises RequestRefusedError: the request was aborted, the table is too
        old, or the request arrived on a persistent connection after the
        entry had stopped accepting new ones
    """
    if context.is_leaving:
        raise RequestRefusedError(Refusal.leaving, 'this instance leaves')
    check_table_age(request.grant, context.table_age_ms())
    clock = context.clock
    due_ms = clock.now_ms() + request.grant.rule.deadline_ms
    request.expire_if_due = partial(_expire_if_due, request, clock, due_ms)
    deadline = clock.call_later(
        request.grant.rule.deadline_ms, _time_out, request
    )
    context.open_requests.add(request)
    try:
        await work()
    finally:
        context.open_requests.remove(request)
        if deadline.active():
            deadline.cancel()
    if request.refused is not None:
        raise request.refused


def _expire_if_due(request: OpenRequest, clock: Clock, due_ms: int) -> None:
    if clock.now_ms() >= due_ms:
        _time_out(request)


def _time_out(request: OpenRequest) -> None:
    outcome = Outcome.unknown if request.may_have_run else Outcome.not_run
    request.abort(
        RequestRefusedError(
            Refusal.timed_out, 'the deadline has passed', outcome=outcome
        )
    )
