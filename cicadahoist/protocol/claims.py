"""Claims: run a request that may not be repeated at most once."""

from typing import Any

import msgspec

from cicadahoist.protocol.claim_events import (
    ClaimRead,
    CreateClaim,
    ReadClaim,
    RefuseClaim,
    ReplayOutcome,
    RequestEnded,
    RunRequest,
    WriteOutcome,
)
from cicadahoist.protocol.claim_records import (
    ClaimRecord,
    decode_claim,
    encode_claim,
)
from cicadahoist.protocol.machine import ChartCore, ChartKit, Guard, Output
from cicadahoist.reasons import Refusal
from cicadahoist.registry import Registry

GUARDS: Registry[Guard] = Registry('guard of the claim chart')
OUTPUTS: Registry[Output] = Registry('output of the claim chart')


class Claim(ChartCore):
    """
    The claim of one request that arrived at one entry.

    The chart leaves ``running`` only to record the outcome, so
    :class:`RunRequest` is returned at most once.

    :param name: name of the claim object, see ``claim_name``
    :param nonce: unique value of each request that arrives
    :param digest: digest of the request's body
    :param kit: chart and functions to run
    :param created_ms: wall-clock time of the request
    """

    __slots__ = ('name', 'record', 'version')

    def __init__(
        self,
        name: str,
        nonce: str,
        digest: str,
        kit: ChartKit | None = None,
        created_ms: int = 0,
    ) -> None:
        super().__init__(kit or CLAIM_KIT)
        self.name = name
        self.record = ClaimRecord(
            nonce=nonce, digest=digest, created_ms=created_ms
        )
        self.version = 0


@GUARDS.register('claim_absent')
def _claim_absent(claim: Claim, event: ClaimRead, now_ms: int) -> bool:
    return not event.payload


@GUARDS.register('nonce_own')
def _nonce_own(claim: Claim, event: ClaimRead, now_ms: int) -> bool:
    return decode_claim(event.payload).nonce == claim.record.nonce


@GUARDS.register('body_differs')
def _body_differs(claim: Claim, event: ClaimRead, now_ms: int) -> bool:
    return decode_claim(event.payload).digest != claim.record.digest


@GUARDS.register('outcome_recorded')
def _outcome_recorded(claim: Claim, event: ClaimRead, now_ms: int) -> bool:
    return bool(decode_claim(event.payload).outcome)


@GUARDS.register('claim_unchanged')
def _claim_unchanged(claim: Claim, event: ClaimRead, now_ms: int) -> bool:
    return event.version == claim.version


@OUTPUTS.register('create')
def _create(claim: Claim, event: Any, now_ms: int) -> None:
    payload = encode_claim(claim.record)
    claim.actions.append(CreateClaim(claim.name, payload))


@OUTPUTS.register('read_claim')
def _read_claim(claim: Claim, event: Any, now_ms: int) -> None:
    claim.actions.append(ReadClaim(claim.name))


@OUTPUTS.register('run_request')
def _run_request(claim: Claim, event: Any, now_ms: int) -> None:
    claim.version = event.version
    claim.actions.append(RunRequest(claim.name))


@OUTPUTS.register('write_outcome')
def _write_outcome(claim: Claim, event: Any, now_ms: int) -> None:
    if isinstance(event, RequestEnded):
        claim.record = msgspec.structs.replace(
            claim.record, outcome=event.outcome
        )
    payload = encode_claim(claim.record)
    claim.actions.append(WriteOutcome(claim.name, payload, claim.version))


@OUTPUTS.register('refuse_not_run')
def _refuse_not_run(claim: Claim, event: Any, now_ms: int) -> None:
    claim.actions.append(RefuseClaim(Refusal.claim_store_away))


@OUTPUTS.register('refuse_body')
def _refuse_body(claim: Claim, event: Any, now_ms: int) -> None:
    claim.actions.append(RefuseClaim(Refusal.claim_body_differs))


@OUTPUTS.register('refuse_unknown')
def _refuse_unknown(claim: Claim, event: Any, now_ms: int) -> None:
    claim.actions.append(RefuseClaim(Refusal.claim_outcome_unknown))


@OUTPUTS.register('replay')
def _replay(claim: Claim, event: ClaimRead, now_ms: int) -> None:
    outcome = decode_claim(event.payload).outcome
    claim.actions.append(ReplayOutcome(outcome))


CLAIM_KIT = ChartKit.load('claim', GUARDS, OUTPUTS)
