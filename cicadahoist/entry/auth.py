"""Authentication and authorization of requests."""

import msgspec

from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.ids import key_digest
from cicadahoist.reasons import Refusal
from cicadahoist.table import (
    DEFAULT_STALE_LIMIT_MS,
    KeyGrant,
    Route,
    RouteKind,
    Rule,
    StalePolicy,
    Table,
)

OPEN_WORKSPACE = 'open'
STALE_RETRY_MS = 5000


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """
    The right of one request to use a route.

    :param workspace: workspace of the key
    :param key_digest: digest of the key, empty on a route open to all
    :param route: the route
    :param rule: weights and limits of the workspace on the route
    """

    workspace: str
    key_digest: str
    route: Route
    rule: Rule


def authenticate(table: Table, request: CallerRequest) -> KeyGrant:
    """
    Return the grant of the key in a request.

    :raises RequestRefusedError: the key is missing, unknown or withdrawn
    """
    key = request.read_bearer_key()
    if not key:
        raise RequestRefusedError(Refusal.no_key, 'no key was sent')
    grant = table.keys_by_digest.get(key_digest(key))
    if grant is None:
        raise RequestRefusedError(Refusal.wrong_key, 'the key is unknown')
    if not is_key_valid(table, grant.digest):
        raise RequestRefusedError(Refusal.key_withdrawn, 'the key is withdrawn')
    return grant


def is_key_valid(table: Table, digest: str) -> bool:
    """Return whether a key grants access in this table revision."""
    grant = table.keys_by_digest.get(digest)
    if grant is None or grant.withdrawn:
        return False
    workspace = table.workspaces_by_name.get(grant.workspace)
    return workspace is not None and workspace.enabled


def authorize(
    table: Table, request: CallerRequest, name: str, kind: RouteKind
) -> Grant:
    """
    Return the right of a request to use a route.

    :param name: name of the route
    :param kind: kind of route that the request needs
    :raises RequestRefusedError: the key is invalid, the route is unknown, or
        the workspace may not use it
    """
    route = table.routes_by_name.get(name)
    if route is not None and route.kind is not kind:
        route = None
    if (
        route is not None
        and route.open_to_all
        and not request.read_bearer_key()
    ):
        return _make_open_grant(table, route)
    key = authenticate(table, request)
    if route is None:
        raise RequestRefusedError(
            Refusal.unknown_route, f'no {kind.value} {name!r}'
        )
    rule = table.rules_by_pair.get((key.workspace, name))
    if rule is None:
        raise RequestRefusedError(
            Refusal.forbidden_route,
            f'workspace {key.workspace!r} has no row for {name!r}',
        )
    return Grant(
        workspace=key.workspace, key_digest=key.digest, route=route, rule=rule
    )


def _make_open_grant(table: Table, route: Route) -> Grant:
    rule = table.rules_by_pair.get((OPEN_WORKSPACE, route.name))
    if rule is None:
        rule = Rule(workspace=OPEN_WORKSPACE, route=route.name)
    return Grant(
        workspace=OPEN_WORKSPACE, key_digest='', route=route, rule=rule
    )


def check_table_age(grant: Grant, age_ms: int) -> None:
    """
    Refuse a request if the table is too old for its rule.

    :param age_ms: time since the table was last confirmed as the newest
    :raises RequestRefusedError: the table is too old
    """
    rule = grant.rule
    if age_ms <= (rule.stale_limit_ms or DEFAULT_STALE_LIMIT_MS):
        return
    refuses = rule.stale is StalePolicy.refuse
    if rule.stale is StalePolicy.auto:
        refuses = not grant.route.repeatable
    if refuses:
        raise RequestRefusedError(
            Refusal.stale_table,
            f'the table was last confirmed {age_ms} ms ago',
            retry_after_ms=STALE_RETRY_MS,
        )


def list_allowed_routes(table: Table, workspace: str) -> list[Route]:
    """Return the model routes that a workspace may use, sorted by name."""
    return [
        route
        for name, route in sorted(table.routes_by_name.items())
        if route.kind is RouteKind.model
        and (route.open_to_all or (workspace, name) in table.rules_by_pair)
    ]
