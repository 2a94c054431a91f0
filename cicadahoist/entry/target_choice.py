"""Chooses the target of a request's next attempt."""

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

    :param context: shared objects of the entry
    :param request: the open request
    :param cost: estimated cost
    :param blocks: hashes of the prompt's blocks, for prefix affinity
    """

    __slots__ = (
        '_blocks',
        '_context',
        '_request',
        'cheap_only',
        'cost',
        'tried_targets',
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
        self.tried_targets: set[str] = set()

    def has_target(self, roles: frozenset[str]) -> bool:
        """Return whether an engine with one of the roles may run an attempt."""
        excluded_targets = self._context.isolation.find_excluded_targets(
            self._request.digest
        )
        return self._can_route(excluded_targets, roles)

    def choose(self, roles: frozenset[str], attempt: str) -> Target | None:
        """
        Return a target, or none if a suspect body has to wait for one.

        A suspect body runs on a target that crashed under it only if the
        pool has no other target.

        :param roles: engine roles that may run the attempt
        :param attempt: id of the attempt
        :raises RequestRefusedError: no target is available
        """
        digest = self._request.digest
        isolation = self._context.isolation
        excluded_targets = isolation.find_excluded_targets(digest)
        target = self._route(excluded_targets, roles, attempt)
        if target is not None:
            return target
        if not isolation.is_suspect(digest):
            raise self.make_no_target_refusal()
        if self._can_route(isolation.find_blamed_targets(digest), roles):
            return None
        if self._can_route(frozenset(), roles):
            return self._route(isolation.find_claimed_targets(), roles, attempt)
        raise self.make_no_target_refusal()

    def make_no_target_refusal(self) -> RequestRefusedError:
        """Return the refusal of a request for which no target is available."""
        if self._request.may_have_run:
            return self.make_failure_refusal()
        return RequestRefusedError(
            Refusal.no_target,
            'no target can take the request',
            retry_after_ms=NO_TARGET_RETRY_MS,
        )

    def make_failure_refusal(self) -> RequestRefusedError:
        """Return the refusal of a request whose last attempt failed."""
        if not self._request.may_have_run:
            return self.make_no_target_refusal()
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
        self,
        excluded_targets: frozenset[str],
        roles: frozenset[str],
        attempt: str,
    ) -> Target | None:
        route_request = self._make_route_request(
            excluded_targets, roles, attempt
        )
        return self._context.dispatcher.choose_target(self._pool, route_request)

    def _can_route(
        self, excluded_targets: frozenset[str], roles: frozenset[str]
    ) -> bool:
        route_request = self._make_route_request(excluded_targets, roles)
        return self._context.dispatcher.has_target(self._pool, route_request)

    def _make_route_request(
        self,
        excluded_targets: frozenset[str],
        roles: frozenset[str],
        attempt: str = '',
    ) -> RouteRequest:
        rule = self._request.grant.rule
        return RouteRequest(
            attempt_id=attempt,
            workspace=rule.workspace,
            route=rule.route,
            cost=self.cost,
            priority=rule.priority,
            blocks=self._blocks,
            excluded_targets=excluded_targets.union(self.tried_targets),
            price_ceiling=rule.price_ceiling,
            cheap_only=self.cheap_only,
            roles=roles,
        )
