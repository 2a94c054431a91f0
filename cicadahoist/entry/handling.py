"""The frame of every request: deadline, refusals, log."""

from collections.abc import Awaitable, Callable

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
    """Do the work of a request and send a refusal where it raises one."""
    try:
        await _run_typed(caller, work)
    except RequestRefusedError as refused:
        context.metrics.refused(refused.reason)
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
    Do the work of a request.

    :raises RequestRefusedError: the only error that gets out
    """
    try:
        await work()
    except RequestRefusedError:
        raise
    except Exception as error:
        logger.bind(request=caller.request_id).exception('unexpected error')
        raise RequestRefusedError(
            Refusal.internal_error, 'the entry met an error of its own'
        ) from error


async def run_within_deadline(
    context: EntryContext,
    request: OpenRequest,
    work: Callable[[], Awaitable[None]],
) -> None:
    """
    Do the work of an authorized request within its deadline.

    :raises RequestRefusedError: the request was cut off, or came on a kept
        connection after the entry had left
    """
    if context.is_leaving:
        raise RequestRefusedError(Refusal.leaving, 'this instance leaves')
    check_table_age(request.grant, context.table_age_ms())
    deadline = context.clock.call_later(
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


def _time_out(request: OpenRequest) -> None:
    outcome = Outcome.unknown if request.may_have_run else Outcome.not_run
    request.abort(
        RequestRefusedError(
            Refusal.timed_out, 'the deadline has passed', outcome=outcome
        )
    )
