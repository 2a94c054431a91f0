"""Reasons for refusals and retries, with status, outcome and remedy."""

from enum import Enum


class Outcome(Enum):
    """What a failed request may have done."""

    not_run = 'not-run'
    unknown = 'unknown'
    failed = 'failed'


class Refusal(Enum):
    """
    Why a request gets an error in place of an answer.

    Each member holds the HTTP status, the outcome and the remedy.
    """

    no_key = (401, Outcome.not_run, 'send Authorization: Bearer with your key')
    wrong_key = (401, Outcome.not_run, 'check the key with your operator')
    key_withdrawn = (401, Outcome.not_run, 'ask your operator for a new key')
    key_withdrawn_midway = (
        401,
        Outcome.failed,
        'ask your operator for a new key',
    )
    forbidden_route = (
        403,
        Outcome.not_run,
        'ask your operator for a row for this workspace and route',
    )
    unknown_route = (404, Outcome.not_run, 'list routes with GET /v1/models')
    bad_request = (400, Outcome.not_run, 'correct the body; see the message')
    body_too_large = (413, Outcome.not_run, 'send a shorter body')
    header_too_slow = (408, Outcome.not_run, 'send the header at once')
    limit_reached = (429, Outcome.not_run, 'come back after Retry-After')
    deadline_unreachable = (
        429,
        Outcome.not_run,
        'come back after Retry-After or ask for a longer deadline',
    )
    quarantined = (
        422,
        Outcome.not_run,
        'this body crashed targets; change it or ask your operator',
    )
    no_target = (503, Outcome.not_run, 'come back after Retry-After')
    not_ready = (503, Outcome.not_run, 'come back after Retry-After')
    stale_table = (503, Outcome.not_run, 'come back after Retry-After')
    claim_store_away = (503, Outcome.not_run, 'come back after Retry-After')
    claim_body_differs = (
        409,
        Outcome.not_run,
        'use a new Idempotency-Key for another body',
    )
    claim_in_progress = (
        409,
        Outcome.unknown,
        'ask for the outcome again with the same Idempotency-Key',
    )
    claim_outcome_unknown = (
        409,
        Outcome.unknown,
        'look up whether the first request took effect',
    )
    target_lost = (502, Outcome.unknown, 'look up whether it took effect')
    target_failed = (502, Outcome.failed, 'send the request again')
    timed_out = (504, Outcome.unknown, 'look up whether it took effect')
    leaving = (503, Outcome.not_run, 'send the request again')

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self.value[0]

    @property
    def outcome(self) -> Outcome:
        """What the request may have done."""
        return self.value[1]

    @property
    def remedy(self) -> str:
        """What the caller can do."""
        return self.value[2]

    @property
    def code(self) -> str:
        """Reason code as callers and operators see it."""
        return self.name.replace('_', '-')


class Retry(Enum):
    """Why a request or a call is tried again; each holds its meaning."""

    connect_failed = 'the target took no connection'
    target_busy = 'the target refused new work'
    stream_broken = 'the stream broke off and is resumed'
    target_frozen = 'no bytes arrived within the stall timeout'
    target_draining = 'the target is leaving'
    store_busy = 'the store refused the call because of its rate limit'
    store_unavailable = 'the store did not answer'
    version_conflict = 'another writer updated the object first'

    @property
    def code(self) -> str:
        """Reason code as operators see it."""
        return self.name.replace('_', '-')
