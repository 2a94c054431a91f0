"""Retry budgets per route and back-off with jitter."""

from random import Random

from cicadahoist.table import Route

BUDGET_SHARE = 0.1
BUDGET_FLOOR = 3.0
BUDGET_MAX = 100.0
FLOOR_REFILL_MS = 10_000
MAX_ATTEMPTS = 4
BACKOFF_BASE_MS = 20
BACKOFF_MAX_MS = 1000


class RetryBudget:
    """Retries that one route may still make."""

    __slots__ = ('_filled_ms', '_left')

    def __init__(self, now_ms: int) -> None:
        self._left = BUDGET_FLOOR
        self._filled_ms = now_ms

    def earn(self) -> None:
        """Count a first attempt."""
        self._left = min(BUDGET_MAX, self._left + BUDGET_SHARE)

    def spend(self, now_ms: int) -> bool:
        """Take one retry; false if none is left."""
        elapsed_ms = now_ms - self._filled_ms
        self._filled_ms = now_ms
        if self._left < BUDGET_FLOOR:
            gain = BUDGET_FLOOR * elapsed_ms / FLOOR_REFILL_MS
            self._left = min(BUDGET_FLOOR, self._left + gain)
        if self._left < 1:
            return False
        self._left -= 1
        return True


class RetryBudgets:
    """
    Decides whether and when a failed attempt is repeated.

    :param rng: source of the jitter
    """

    __slots__ = ('_budgets_by_route', '_random')

    def __init__(self, rng: Random) -> None:
        self._random = rng
        self._budgets_by_route: dict[str, RetryBudget] = {}

    def first_attempt(self, route: Route, now_ms: int) -> None:
        """Count the first attempt of a request."""
        self._budget(route, now_ms).earn()

    def retry_delay_ms(
        self, route: Route, attempts: int, now_ms: int, *, not_run: bool
    ) -> int | None:
        """
        Return the time until the next attempt, or none for no retry.

        :param attempts: attempts made so far
        :param not_run: whether the last attempt is known not to have run, so
            that also a route that may not repeat may try again
        """
        if attempts >= MAX_ATTEMPTS:
            return None
        if not route.repeatable and not not_run:
            return None
        if not self._budget(route, now_ms).spend(now_ms):
            return None
        longest = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << (attempts - 1))
        return self._random.randint(0, longest)

    def _budget(self, route: Route, now_ms: int) -> RetryBudget:
        budget = self._budgets_by_route.get(route.name)
        if budget is None:
            budget = RetryBudget(now_ms)
            self._budgets_by_route[route.name] = budget
        return budget
