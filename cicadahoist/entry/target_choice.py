"""Choice of the target of one request's next attempt."""

from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.policy.cost import Cost
from cicadahoist.policy.tickets import RouteRequest
from cicadahoist.reasons import Refusal
from cicadahoist.table import Target

NO_TARGET_RETRY_MS = 2000


class TargetChoice:
    """
    Chooses targets for the attempts of one request.

    :param context: shared parts of the entry
    :param request: the open request
    :param cost: estimated work
    :param blocks: digests of the prompt's blocks
    """

    __slots__ = (
        '_blocks',
        '_context',
        '_request',
        'cheap_only',
        'cost',
        'tried',
    )

    def __init__(
        self,
        context: EntryContext,
        request: OpenRequest,
        cost: Cost,
        blocks: tuple[int, ...],
    ) -> None:
        self._context = context
        self._request = request
        self._blocks = blocks
        self.cost = cost
        self.cheap_only = False
        self.tried: set[str] = set()

    def is_possible(self, roles: frozenset[str]) -> bool:
        """Tell whether an engine in one of some roles may take an attempt."""
        avoided = self._context.isolation.avoid(self._request.digest)
        return self._has_target(avoided, roles)

    def choose(self, roles: frozenset[str]) -> Target | None:
        """
        Return a target, or none where a suspect has to wait for one.

        A suspect keeps away from targets that ended under it as long as the
        pool has others.

        :param roles: roles of engines that may take it
        :raises RequestRefusedError: no target is left
        """
        digest = self._request.digest
        isolation = self._context.isolation
        target = self._route(isolation.avoid(digest), roles)
        if target is not None:
            return target
        if not isolation.is_suspect(digest):
            raise self.no_target()
        if self._has_target(isolation.blamed(digest), roles):
            return None
        if self._has_target(frozenset(), roles):
            return self._route(isolation.claimed(), roles)
        raise self.no_target()

    def no_target(self) -> RequestRefusedError:
        """Return the refusal of a request for which no target is left."""
        if self._request.may_have_run:
            return self.failed()
        return RequestRefusedError(
            Refusal.no_target,
            'no target can take the request',
            retry_after_ms=NO_TARGET_RETRY_MS,
        )

    def failed(self) -> RequestRefusedError:
        """Return the refusal of a request whose last attempt failed."""
        if not self._request.may_have_run:
            return self.no_target()
        if not self._request.grant.route.repeatable:
            return RequestRefusedError(
                Refusal.target_lost, 'the target broke off'
            )
        return RequestRefusedError(
            Refusal.target_failed,
            'the targets broke off',
            retry_after_ms=NO_TARGET_RETRY_MS,
        )

    @property
    def _pool(self) -> str:
        return self._request.grant.route.pool

    def _route(
        self, avoided: frozenset[str], roles: frozenset[str]
    ) -> Target | None:
        wanted = self._wanted(avoided, roles, self._request.new_attempt())
        return self._context.dispatcher.choose(self._pool, wanted)

    def _has_target(
        self, avoided: frozenset[str], roles: frozenset[str]
    ) -> bool:
        wanted = self._wanted(avoided, roles)
        return self._context.dispatcher.has_target(self._pool, wanted)

    def _wanted(
        self, avoided: frozenset[str], roles: frozenset[str], attempt: str = ''
    ) -> RouteRequest:
        rule = self._request.grant.rule
        return RouteRequest(
            attempt_id=attempt,
            workspace=rule.workspace,
            route=rule.route,
            cost=self.cost,
            priority=rule.priority,
            blocks=self._blocks,
            excluded_targets=avoided.union(self.tried),
            price_ceiling=rule.price_ceiling,
            cheap_only=self.cheap_only,
            roles=roles,
        )
