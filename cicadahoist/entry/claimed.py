"""Runs requests that may not be repeated and records their answers."""

from collections.abc import Awaitable, Callable

import msgspec

from cicadahoist.clock import wall_ms
from cicadahoist.entry.claim_runner import ClaimRunner, make_claim_name
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.ids import new_nonce
from cicadahoist.outside.engine import JSON_TYPE
from cicadahoist.protocol.claims import Claim
from cicadahoist.reasons import Refusal

MAX_RECORD_BYTES = 524_288


class RecordedAnswer(msgspec.Struct, frozen=True):
    """A complete answer as recorded in a claim object."""

    status: int
    headers: dict[str, str]
    body: bytes


Produce = Callable[[], Awaitable[RecordedAnswer | None]]


def needs_claim(request: OpenRequest) -> bool:
    """Return whether a request runs under a claim."""
    key = request.caller.idempotency_key
    return bool(key) and not request.grant.route.repeatable


async def answer_once(
    context: EntryContext, request: OpenRequest, produce: Produce
) -> RecordedAnswer:
    """
    Return the answer of a request's first run, at whichever entry it ran.

    :param produce: runs the request; returns none if it ends without an
        answer
    :raises RequestRefusedError: the claim forbids a run here, or the run
        failed
    """
    request.outlives_caller = True
    grant = request.grant
    name = make_claim_name(
        grant.workspace, grant.route.name, request.caller.idempotency_key
    )
    claim = Claim(name, new_nonce(), request.digest, created_ms=wall_ms())
    runner = ClaimRunner(
        context.store,
        context.clock,
        context.metrics,
        claim,
        lambda: _encode_answer(request, produce),
        grant.rule.deadline_ms,
    )
    recorded = await runner.run_or_replay()
    return msgspec.json.decode(recorded, type=RecordedAnswer)


async def _encode_answer(request: OpenRequest, produce: Produce) -> bytes:
    answer = await produce()
    if answer is None:
        raise request.refused or RequestRefusedError(
            Refusal.target_lost, 'the request ended without an answer'
        )
    if len(answer.body) > MAX_RECORD_BYTES:
        answer = _make_too_long_answer(request)
    return msgspec.json.encode(answer)


def _make_too_long_answer(request: OpenRequest) -> RecordedAnswer:
    refused = RequestRefusedError(
        Refusal.claim_outcome_unknown, 'the answer was too long to be recorded'
    )
    return RecordedAnswer(
        refused.reason.status,
        {'Content-Type': JSON_TYPE},
        refused.encode_body(request.caller.request_id),
    )
