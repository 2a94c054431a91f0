"""Retry budgets of routes, and backoff with jitter."""

from random import Random

from cicadahoist.table import Route

RETRIES_PER_REQUEST = 0.1
# Budget that a route regains by time alone, so that quiet routes may retry.
MIN_BUDGET_RETRIES = 3.0
MAX_BUDGET_RETRIES = 100.0
# Time in which an empty budget regains ``MIN_BUDGET_RETRIES``.
FLOOR_REFILL_MS = 10_000
MAX_ATTEMPTS = 4
BACKOFF_BASE_MS = 20
BACKOFF_MAX_MS = 1000


class RetryBudget:
    """Token bucket of the retries that one route may still make."""

    __slots__ = ('_refilled_ms', '_remaining_retries')

    def __init__(self, now_ms: int) -> None:
        self._remaining_retries = MIN_BUDGET_RETRIES
        self._refilled_ms = now_ms

    def deposit(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._remaining_retries = min(
            MAX_BUDGET_RETRIES, self._remaining_retries + RETRIES_PER_REQUEST
        )

    def try_spend_retry(self, now_ms: int) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        if self._remaining_retries < MIN_BUDGET_RETRIES:
            refilled_retries = MIN_BUDGET_RETRIES * elapsed_ms / FLOOR_REFILL_MS
            self._remaining_retries = min(
                MIN_BUDGET_RETRIES, self._remaining_retries + refilled_retries
            )
        if self._remaining_retries < 1:
            return False
        self._remaining_retries -= 1
        return True


class RetryBudgets:
    """
    Decides whether and when a failed attempt is retried.

    :param rng: random source of the jitter
    """

    __slots__ = ('_budgets_by_route', '_random')

    def __init__(self, rng: Random) -> None:
        self._random = rng
        self._budgets_by_route: dict[str, RetryBudget] = {}

    def record_first_attempt(self, route: Route, now_ms: int) -> None:
        """Record the first attempt of a request, which adds to the budget."""
        self._get_budget(route, now_ms).deposit()

    def plan_retry_ms(
        self, route: Route, attempts: int, now_ms: int, *, not_run: bool
    ) -> int | None:
        """
        Spend one retry and return the delay until the next attempt.

        :param attempts: number of attempts made so far
        :param not_run: whether the last attempt is known not to have run, so
            that a retry is safe also on a route that is not repeatable
        :return: delay in ms, or ``None`` if the request is not retried
        """
        if attempts >= MAX_ATTEMPTS:
            return None
        if not route.repeatable and not not_run:
            return None
        if not self._get_budget(route, now_ms).try_spend_retry(now_ms):
            return None
        max_delay_ms = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << (attempts - 1))
        return self._random.randint(0, max_delay_ms)

    def _get_budget(self, route: Route, now_ms: int) -> RetryBudget:
        budget = self._budgets_by_route.get(route.name)
        if budget is None:
            budget = RetryBudget(now_ms)
            self._budgets_by_route[route.name] = budget
        return budget
