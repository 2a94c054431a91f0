"""Reasons for refusals and retries, with status, outcome and remedies."""

from enum import Enum


class Outcome(Enum):
    """Whether a failed request took effect, as far as is known."""

    not_run = 'not-run'
    unknown = 'unknown'
    failed = 'failed'


class RefusalSpec:
    """
    Status, outcome and remedies of a refusal reason.

    Instances compare by identity. Otherwise :class:`~enum.Enum` would make two
    reasons with equal texts aliases of one member.

    :param status: HTTP status of the answer
    :param outcome: whether the request took effect
    :param remedy: what the caller can do
    :param operator_remedy: what an operator can do when the counter rises
    """

    __slots__ = ('operator_remedy', 'outcome', 'remedy', 'status')

    def __init__(
        self, status: int, outcome: Outcome, remedy: str, operator_remedy: str
    ) -> None:
        self.status = status
        self.outcome = outcome
        self.remedy = remedy
        self.operator_remedy = operator_remedy


class RetrySpec:
    """
    Meaning and remedy of a retry reason, or of a refusal between instances.

    :param meaning: event that causes the retry or the refusal
    :param operator_remedy: what an operator can do when the counter rises
    """

    __slots__ = ('meaning', 'operator_remedy')

    def __init__(self, meaning: str, operator_remedy: str) -> None:
        self.meaning = meaning
        self.operator_remedy = operator_remedy


class Refusal(Enum):
    """Reason for which a request is answered with an error."""

    no_key = RefusalSpec(
        401,
        Outcome.not_run,
        'send Authorization: Bearer with your key',
        'none, unless a client of yours has lost its key',
    )
    wrong_key = RefusalSpec(
        401,
        Outcome.not_run,
        'check the key with your operator',
        'look for the key with "key list"; if many are tried, find the caller',
    )
    key_withdrawn = RefusalSpec(
        401,
        Outcome.not_run,
        'ask your operator for a new key',
        'see "key list", and whether the workspace is disabled; create a key '
        'if the caller should have access',
    )
    key_withdrawn_midway = RefusalSpec(
        401,
        Outcome.failed,
        'ask your operator for a new key',
        'none: open requests of a withdrawn key are cut off',
    )
    forbidden_route = RefusalSpec(
        403,
        Outcome.not_run,
        'ask your operator for a row for this workspace and route',
        'if the workspace may use the route, save a row with "table set"',
    )
    unknown_route = RefusalSpec(
        404,
        Outcome.not_run,
        'list routes with GET /v1/models',
        'create the route if callers should have it',
    )
    bad_request = RefusalSpec(
        400,
        Outcome.not_run,
        'correct the body; see the message',
        'none: the caller has to correct its client',
    )
    body_too_large = RefusalSpec(
        413,
        Outcome.not_run,
        'send a shorter body',
        'raise [entry] body_limit if longer bodies should be accepted',
    )
    header_too_slow = RefusalSpec(
        408,
        Outcome.not_run,
        'send the header at once',
        'raise [entry] header_timeout if callers have slow connections',
    )
    limit_reached = RefusalSpec(
        429,
        Outcome.not_run,
        'come back after Retry-After',
        'raise the limits of the row with "table set" if there is capacity',
    )
    quota_exceeded = RefusalSpec(
        429,
        Outcome.not_run,
        'come back after Retry-After, or ask your operator for a higher quota',
        'raise rate-per-s and burst of the workspace; see the tokens that it '
        'has used, by workspace, and whether its home changes',
    )
    deadline_unreachable = RefusalSpec(
        429,
        Outcome.not_run,
        'come back after Retry-After or ask for a longer deadline',
        'add targets to the pool, or raise deadline_ms or weight of the row',
    )
    quarantined = RefusalSpec(
        422,
        Outcome.not_run,
        'this body crashed targets; change it or ask your operator',
        'ask the workspace for the body; the quarantine ends by itself',
    )
    part_held = RefusalSpec(
        503,
        Outcome.not_run,
        'change the prompt, or ask your operator; see Retry-After',
        'find the held part in the log of the request, and the crashes in that '
        'of the instances; let the part go once its engines are mended',
    )
    no_target = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'see whether the pool has targets that are up and not draining',
    )
    slots_taken = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'add targets: all slots of the service are taken for longer than the '
        'callers wait',
    )
    targets_paused = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'add targets: those of the service ask for pauses under this load',
    )
    not_ready = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'see whether the entry reaches the store or a peer with the table',
    )
    stale_table = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'restore the connection of the zone to the store or to its peers',
    )
    stream_unknown = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After, or begin the stream anew',
        'see whether instances reach each other; several versions of the '
        'targets serve, and none of them knows which one began the stream',
    )
    version_unrecorded = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'see whether the store answers: streams begin at a new software '
        'version only once the store holds it',
    )
    claim_store_away = RefusalSpec(
        503,
        Outcome.not_run,
        'come back after Retry-After',
        'see why the store does not answer',
    )
    claim_body_differs = RefusalSpec(
        409,
        Outcome.not_run,
        'use a new Idempotency-Key for another body',
        'none: the caller has to correct its client',
    )
    claim_in_progress = RefusalSpec(
        409,
        Outcome.unknown,
        'ask for the outcome again with the same Idempotency-Key',
        'none, unless one request stays open for very long',
    )
    claim_outcome_unknown = RefusalSpec(
        409,
        Outcome.unknown,
        'look up whether the first request took effect',
        'look in the service for the effect and tell the caller',
    )
    target_lost = RefusalSpec(
        502,
        Outcome.unknown,
        'look up whether it took effect',
        'see why the target broke off; drain it if it does so again',
    )
    target_failed = RefusalSpec(
        502,
        Outcome.failed,
        'send the request again',
        'see the log of the target; drain it if it fails again',
    )
    timed_out = RefusalSpec(
        504,
        Outcome.unknown,
        'look up whether it took effect',
        'raise deadline_ms of the row, or see why the target is slow',
    )
    internal_error = RefusalSpec(
        500,
        Outcome.unknown,
        'look up whether it took effect; tell your operator the request id',
        'look for the request id in the log of the entry, and report the error',
    )
    memory_full = RefusalSpec(
        503,
        Outcome.not_run,
        'send the request again',
        'see which callers send large bodies and do not finish them; give the '
        'machines of the instances more memory',
    )
    leaving = RefusalSpec(
        503,
        Outcome.not_run,
        'send the request again',
        'raise [entry] drain_grace above the lag of the balancer',
    )

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self.value.status

    @property
    def outcome(self) -> Outcome:
        """Whether the request took effect, as far as is known."""
        return self.value.outcome

    @property
    def remedy(self) -> str:
        """What the caller can do."""
        return self.value.remedy

    @property
    def operator_remedy(self) -> str:
        """What an operator can do when the counter rises."""
        return self.value.operator_remedy

    @property
    def code(self) -> str:
        """Reason code as shown to callers and operators."""
        return self.name.replace('_', '-')


class Retry(Enum):
    """Reason for which a request or a store call is retried."""

    connect_failed = RetrySpec(
        'the target took no connection',
        'see whether the target runs, and its url in the table',
    )
    target_busy = RetrySpec(
        'the target refused new work',
        'add targets to the pool if this goes on',
    )
    stream_broken = RetrySpec(
        'the stream broke off and is resumed',
        'see the log of the target; drain it if it breaks off again',
    )
    target_failed = RetrySpec(
        'the target failed a request that may be repeated',
        'see the log of the target; drain it if it goes on failing',
    )
    handoff_failed = RetrySpec(
        'KV cache was not passed on; the prompt is processed again',
        'see whether engines of the pool reach each other',
    )
    target_frozen = RetrySpec(
        'no bytes arrived within the stall timeout',
        'drain the target; raise [entry] stall_timeout if it is only slow',
    )
    store_busy = RetrySpec(
        'the store refused the call because of its rate limit',
        'see who else calls the store; raise the limit if it is yours alone',
    )
    store_unavailable = RetrySpec(
        'the store did not answer',
        'see why the store is unreachable; serving continues',
    )
    version_conflict = RetrySpec(
        'another writer updated the object first',
        'none, unless it goes on for minutes',
    )

    @property
    def meaning(self) -> str:
        """Event that causes the retry."""
        return self.value.meaning

    @property
    def operator_remedy(self) -> str:
        """What an operator can do when the counter rises."""
        return self.value.operator_remedy

    @property
    def code(self) -> str:
        """Reason code as shown to operators."""
        return self.name.replace('_', '-')


class RelayRefusal(Enum):
    """Reason for which no connection was opened through another instance."""

    peer_unreachable = RetrySpec(
        'the peer took no connection, or gave no answer in time',
        'see whether instances reach each other on the relay port',
    )
    target_refused = RetrySpec(
        'the target refuses connections from the peer as well',
        'see whether the target runs',
    )
    target_silent = RetrySpec(
        'the target does not answer the peer either',
        'see whether the target runs, and which instances reach it',
    )
    denied = RetrySpec(
        'the peer does not know the token, lists no such target, or has heard '
        'from it that it leaves',
        'none for some seconds after a start; later, see whether the lists of '
        'targets of both instances are current',
    )
    busy = RetrySpec(
        'the peer relays as many connections as it may',
        'see which instances have lost their links to targets',
    )
    leaving = RetrySpec('the peer is leaving', 'none')

    @property
    def meaning(self) -> str:
        """Event that causes the refusal."""
        return self.value.meaning

    @property
    def operator_remedy(self) -> str:
        """What an operator can do when the counter rises."""
        return self.value.operator_remedy

    @property
    def code(self) -> str:
        """Reason code as shown to operators."""
        return self.name.replace('_', '-')
