"""The attempts of one request: admission, targets, retries, load counts."""

from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.target_choice import TargetChoice
from cicadahoist.policy.cost import Cost
from cicadahoist.policy.handoff import ANY_ROLE
from cicadahoist.policy.tickets import Ticket
from cicadahoist.reasons import Retry
from cicadahoist.table import Target

TARGET_RECHECK_MS = 250

# After these, the target has not started the request.
_NOT_RUN_RETRIES = frozenset((Retry.connect_failed,))
_CRASH_RETRIES = frozenset((Retry.stream_broken, Retry.target_frozen))


class Attempts:
    """
    Takes one request through admission and its attempts.

    :param context: shared objects of the entry
    :param request: the open request
    :param cost: estimated cost
    :param blocks: hashes of the prompt's blocks, for prefix affinity
    """

    __slots__ = (
        '_choice',
        '_context',
        '_is_admitted',
        '_may_have_run_before',
        '_request',
        '_target',
        '_ticket',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        cost: Cost,
        blocks: tuple[int, ...] = (),
    ) -> None:
        self._context = context
        self._request = request
        self._choice = TargetChoice(context, request, cost, blocks)
        self._is_admitted = False
        self._may_have_run_before = False
        self._target: Target | None = None
        self._ticket = Ticket.from_rule(
            request.billing_id,
            request.grant.route.pool,
            request.grant.rule,
            cost,
            context.clock.now_ms(),
        )

    @property
    def is_over(self) -> bool:
        """Whether no further attempt is wanted."""
        return self._request.is_over

    @property
    def cost(self) -> Cost:
        """Estimated cost of the next attempt."""
        return self._choice.cost

    async def admit(self) -> None:
        """
        Wait until the request is admitted.

        :raises RequestRefusedError: admission refuses the request
        """
        self._is_admitted = await self._context.dispatcher.admit(
            self._ticket, self._request.set_canceller
        )
        self._context.dispatcher.budgets.record_first_attempt(
            self._request.grant.route, self._context.clock.now_ms()
        )

    def end_request(self, used_tokens: int) -> None:
        """Record the end of the request, if it was admitted."""
        if self._is_admitted:
            self._is_admitted = False
            self._context.dispatcher.record_end(self._ticket, used_tokens)

    def skip_prefill(self) -> None:
        """Leave the prompt out of the estimated cost of further attempts."""
        self._choice.cost = Cost(0, self.cost.decode_tokens)

    def can_begin_attempt(self, roles: frozenset[str]) -> bool:
        """Return whether an engine with one of the roles may run an attempt."""
        return self._choice.has_target(roles)

    async def begin_attempt(
        self, roles: frozenset[str] = ANY_ROLE
    ) -> Target | None:
        """
        Choose the target of the next attempt and record it as sent.

        :param roles: engine roles that may run the attempt
        :return: the target, none if the request ended during the wait
        :raises RequestRefusedError: no target is available
        """
        self._choice.cheap_only = self._ticket.cheap_only
        target = await self._reserve_target(roles)
        if target is None:
            return None
        self._request.expire_if_due()
        if self._request.is_over:
            self._record_end(0, is_failed=False)
            self._context.isolation.release(self._request, is_complete=False)
            return None
        self._choice.tried_targets.add(target.name)
        self._target = target
        self._request.target = target.name
        self._may_have_run_before = self._request.may_have_run
        self._request.may_have_run = True
        return target

    def record_first_token(self) -> None:
        """Record that the attempt has finished its prefill."""
        self._context.dispatcher.loads.record_first_token(
            self._request.attempt, self._context.clock.now_ms()
        )

    def end_attempt(self, output_tokens: int, retry: Retry | None) -> None:
        """
        Record the end of the attempt and release its target.

        :param retry: why another attempt is needed, none after a complete
            answer
        """
        is_failed = retry is not None and not self._request.is_over
        self._record_end(output_tokens, is_failed=is_failed)
        if is_failed and retry in _CRASH_RETRIES:
            self._report_crash()
        if retry in _NOT_RUN_RETRIES:
            self._request.may_have_run = self._may_have_run_before
        self._context.isolation.release(
            self._request, is_complete=retry is None
        )
        self._request.end_attempt()

    async def pause_before_retry(self, retry: Retry) -> None:
        """
        Wait for the backoff before the next attempt.

        :raises RequestRefusedError: the route or its retry budget allows no
            further attempt
        """
        self._request.expire_if_due()
        if self._request.is_over:
            return
        delay_ms = self._context.dispatcher.budgets.plan_retry_ms(
            self._request.grant.route,
            len(self._choice.tried_targets),
            self._context.clock.now_ms(),
            not_run=retry in _NOT_RUN_RETRIES,
        )
        if delay_ms is None:
            raise self._choice.make_failure_refusal()
        self._context.metrics.count_retry(retry)
        await self._request.pause(self._context.clock, delay_ms)

    async def _reserve_target(self, roles: frozenset[str]) -> Target | None:
        """Wait for a target on which the request may start, and return it."""
        while not self._request.is_over:
            target = self._choice.choose(roles)
            if target is None:
                await self._request.pause(
                    self._context.clock, TARGET_RECHECK_MS
                )
            elif await self._context.isolation.reserve(
                self._request, target.name
            ):
                return target
            else:
                self._record_end(0, is_failed=False)
        return None

    def _record_end(self, output_tokens: int, *, is_failed: bool) -> None:
        self._context.dispatcher.loads.record_end(
            self._request.attempt,
            self._context.clock.now_ms(),
            output_tokens=output_tokens,
            failed=is_failed,
        )

    def _report_crash(self) -> None:
        target = self._target
        if target is None:
            return
        self._context.dispatcher.loads.record_crash(
            target.name, self._context.clock.now_ms()
        )
        self._context.isolation.investigate_crash(target, self._request.attempt)
