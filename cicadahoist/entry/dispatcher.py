"""Admission and choice of targets for this entry's requests."""

from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.reasons import Refusal
from cicadahoist.table import Table, Target

NO_TARGET_RETRY_MS = 2000


class Dispatcher:
    """Admits requests and chooses their targets."""

    __slots__ = ('_next',)

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, table: Table, request: OpenRequest, tried: set[str]
    ) -> Target:
        """
        Return the target of the next attempt.

        :param tried: names of targets that are left out
        :raises RequestRefusedError: no target is left
        """
        targets = [
            target
            for target in table.targets_by_pool.get(
                request.grant.route.pool, []
            )
            if target.name not in tried and not target.draining
        ]
        if not targets:
            raise RequestRefusedError(
                Refusal.no_target,
                'no target can take the request',
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
        self._next += 1
        return targets[self._next % len(targets)]
