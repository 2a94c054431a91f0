"""Rows of the operators' table, and the table at one revision."""

from enum import Enum

import msgspec

HEAD_NAME = 'table/head'
SHARD_COUNT = 32
DEFAULT_STALE_LIMIT_MS = 30_000


class RouteKind(Enum):
    """Kind of target that serves a route."""

    model = 'model'
    service = 'service'


class StalePolicy(Enum):
    """
    What a zone that is cut off does with a route when its table is stale.

    ``auto`` serves routes whose requests may be repeated and refuses others.
    A key that was withdrawn elsewhere may then read for a while, but cause no
    effects.
    """

    auto = 'auto'
    serve = 'serve'
    refuse = 'refuse'


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """
    A workspace (tenant).

    :param revision: table revision of the last change, 0 if not saved yet
    """

    name: str
    enabled: bool = True
    revision: int = 0


class KeyGrant(msgspec.Struct, frozen=True, kw_only=True):
    """
    An API key of a workspace; only its digest is stored.

    :param digest: SHA-256 of the key, hex
    :param withdrawn: whether the key is revoked
    """

    digest: str
    workspace: str
    label: str = ''
    withdrawn: bool = False
    revision: int = 0


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """
    A target: an engine or a process of a plain service.

    :param pool: pool that the target belongs to; a route is served by the
        targets of one pool
    :param fencing: whether it rejects orders with an outdated fencing token
    :param reclaimable: whether the platform may reclaim it on short notice
    :param price: cost while running, in thousandths of a unit per hour
    :param ordered: whether control bought it; control removes only such rows
    """

    name: str
    pool: str
    url: str
    zone: str
    kind: RouteKind = RouteKind.model
    fencing: bool = True
    reclaimable: bool = False
    price: int = 1000
    draining: bool = False
    ordered: bool = False
    revision: int = 0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """
    A route: a model name or the first path segment below ``/services/``.

    :param pool: pool of the targets that serve it
    :param repeatable: whether a request may run more than once
    :param open_to_all: whether callers need no key
    """

    name: str
    pool: str
    kind: RouteKind = RouteKind.model
    version: str = '1'
    repeatable: bool = True
    open_to_all: bool = False
    revision: int = 0


class Rule(msgspec.Struct, frozen=True, kw_only=True):
    """
    Weight and limits of a workspace on a route.

    :param weight: share of contended capacity relative to other rows
    :param max_concurrent: limit of open requests at all entries together, 0 for
        no limit
    :param requests_per_minute: limit for all entries together, 0 for no limit
    :param tokens_per_minute: limit of prompt and output tokens for all entries
        together, 0 for no limit
    :param deadline_ms: time until the complete answer is due
    :param first_token_ms: time until the first token is due
    :param priority: 0 is the most urgent
    :param price_ceiling: highest price of the targets used, 0 for no ceiling
    :param cheap_only_until_ms: how long work may wait for cheap targets
    :param stale: what a cut-off zone does once its table is stale
    :param stale_limit_ms: age from which the table is stale, 0 for
        ``DEFAULT_STALE_LIMIT_MS``
    """

    workspace: str
    route: str
    weight: int = 1
    max_concurrent: int = 0
    requests_per_minute: int = 0
    tokens_per_minute: int = 0
    deadline_ms: int = 60_000
    first_token_ms: int = 480
    priority: int = 1
    price_ceiling: int = 0
    cheap_only_until_ms: int = 0
    stale: StalePolicy = StalePolicy.auto
    stale_limit_ms: int = 0
    revision: int = 0


Row = Workspace | KeyGrant | Target | Route | Rule


def row_key(row: Row) -> str:
    """Return the name under which a row is saved, unique among all kinds."""
    match row:
        case Workspace():
            return f'workspace/{row.name}'
        case KeyGrant():
            return f'key/{row.digest}'
        case Target():
            return f'target/{row.name}'
        case Route():
            return f'route/{row.name}'
        case Rule():
            return f'rule/{row.workspace}/{row.route}'


class Shard(msgspec.Struct, kw_only=True):
    """Rows that are stored together in one object."""

    workspaces: list[Workspace] = []
    keys: list[KeyGrant] = []
    targets: list[Target] = []
    routes: list[Route] = []
    rules: list[Rule] = []


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """
    Object whose conditional update commits a table revision.

    :param revision: increases by one with each commit
    :param shards: name of the immutable shard object, by shard number
    :param commits: nonces of the latest commits, the newest last
    :param retired: names of shard objects that no longer belong to the table
        but are kept for readers of older heads, the newest last
    """

    revision: int = 0
    shards: dict[str, str] = {}
    commits: list[str] = []
    retired: list[str] = []


class Table:
    """All rows of the table at one revision, indexed for lookups."""

    __slots__ = (
        'keys_by_digest',
        'revision',
        'routes_by_name',
        'rules_by_pair',
        'targets_by_name',
        'targets_by_pool',
        'workspaces_by_name',
    )

    def __init__(self, revision: int, shards: list[Shard]) -> None:
        self.revision = revision
        self.workspaces_by_name = {
            row.name: row for shard in shards for row in shard.workspaces
        }
        self.keys_by_digest = {
            row.digest: row for shard in shards for row in shard.keys
        }
        self.routes_by_name = {
            row.name: row for shard in shards for row in shard.routes
        }
        self.rules_by_pair = {
            (row.workspace, row.route): row
            for shard in shards
            for row in shard.rules
        }
        self.targets_by_name = {
            row.name: row for shard in shards for row in shard.targets
        }
        self.targets_by_pool: dict[str, list[Target]] = {}
        for row in self.targets_by_name.values():
            self.targets_by_pool.setdefault(row.pool, []).append(row)

    @classmethod
    def empty(cls) -> 'Table':
        """Return the table before the first revision."""
        return cls(0, [])

    def rows(self) -> list[Row]:
        """Return all rows, ordered by :func:`row_key`."""
        by_key: list[Row] = [
            *self.workspaces_by_name.values(),
            *self.keys_by_digest.values(),
            *self.targets_by_name.values(),
            *self.routes_by_name.values(),
            *self.rules_by_pair.values(),
        ]
        return sorted(by_key, key=row_key)
