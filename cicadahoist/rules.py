"""Configuration of a deployment: routes, services, keys and limits."""

import msgspec

from cicadahoist.ids import fast_hash
from cicadahoist.requests import ModelWork, RepeatRule

# Resolution of the weighted split of a route's requests.
SPLIT_STEPS = 10_000
# Callers may state any number; one that no message can carry counts as this.
MAX_STATED_TOKENS = 1_000_000_000_000


class ServiceShare(msgspec.Struct, frozen=True):
    """Service of a route and its weight in the traffic split."""

    service: str
    weight: int


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """
    A route: host and path prefix, and how its requests are served.

    :param prefix: path prefix, begins and ends with a slash
    :param repeat: whether a request may be repeated after it may have run
    :param is_streamed: whether the answer is a series of events
    :param timeout_ms: longest time until a request ends, from its arrival
    :param latency_objective_ms: time within which an answer should begin
    :param priority: priority of the route, 0 is the highest
    :param shares: services among which requests are split by weight
    :param max_sends: number of targets to which one attempt may be sent
    :param is_open: whether callers need no key
    :param uses_engines: whether engines serve it, so that its requests
        describe a prompt
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatRule
    is_streamed: bool
    timeout_ms: int
    latency_objective_ms: int
    priority: int
    shares: tuple[ServiceShare, ...]
    max_sends: int = 1
    is_open: bool = False
    uses_engines: bool = False

    def choose_service(self, request_id: str) -> str:
        """
        Return the service of a request by the weights of the route.

        The choice depends on the id only: all instances choose the same one.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = fast_hash(request_id) % SPLIT_STEPS * total / SPLIT_STEPS
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class EngineSizes(msgspec.Struct, frozen=True, kw_only=True):
    """
    Capacity of one engine of a service.

    :param slots: requests that the engine runs concurrently
    :param cache_tokens: size of its KV cache
    :param role_change_ms: how long a change of role takes, during which the
        engine serves nothing
    """

    slots: int = 32
    cache_tokens: int = 0
    role_change_ms: int = 0


class OrderLimits(msgspec.Struct, frozen=True, kw_only=True):
    """
    Limits and prices for ordering targets of a service.

    :param min_targets: fewest targets in one availability zone
    :param max_targets: most targets in one availability zone
    :param boot_ms: time from the order of a target until it serves
    :param cheap_price_ratio: price of a reclaimable target relative to others
    :param price_by_zone: price of a target, by availability zone
    """

    min_targets: int
    max_targets: int
    boot_ms: int = 0
    cheap_price_ratio: float = 1
    price_by_zone: dict[str, float] = {}


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True):
    """
    A service: its health check, connections, engines and orders.

    :param max_connections: limit of connections to one target
    :param engine: capacity of its engines, none for a plain service
    :param orders: limits for ordering targets, none to order none
    """

    name: str
    health_path: str = '/health'
    max_connections: int = 64
    engine: EngineSizes | None = None
    orders: OrderLimits | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of requests and on the pauses of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class KeyHolder(msgspec.Struct, frozen=True):
    """
    Workspace that a key belongs to.

    :param priority: priority of its requests, none for that of the route
    """

    workspace: str
    priority: int | None = None


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a workspace may use over all instances.

    :param tokens_per_s: sustained rate
    :param burst_tokens: what may be used at once
    :param counts_tokens: whether a request counts by its tokens; otherwise, it
        counts as one
    :param plain_tokens: tokens of a request that does not state them
    """

    tokens_per_s: float
    burst_tokens: float
    counts_tokens: bool = False
    plain_tokens: float = 0

    def compute_tokens(self, work: ModelWork | None) -> float:
        """Return what a request counts as."""
        if not self.counts_tokens:
            return 1
        if work is None:
            return self.plain_tokens
        stated = work.prompt_tokens + work.max_output_tokens
        return min(MAX_STATED_TOKENS, stated)


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """
    One version of the configuration.

    :param routes_by_host: routes of each host, those with the longest prefix
        first
    :param holder_by_key: workspaces by API key, none if keys are not checked
    :param quota_by_workspace: quotas of the workspaces that have one
    """

    version: int
    routes_by_host: dict[str, list[RouteRule]]
    services_by_name: dict[str, ServiceRule]
    limits: CallerLimits = CallerLimits()
    holder_by_key: dict[str, KeyHolder] | None = None
    quota_by_workspace: dict[str, Quota] = {}

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[RouteRule],
        services: list[ServiceRule],
        limits: CallerLimits,
        holder_by_key: dict[str, KeyHolder] | None,
        quota_by_workspace: dict[str, Quota] | None = None,
    ) -> 'Deployment':
        """Return a deployment with its routes grouped and sorted."""
        by_host: dict[str, list[RouteRule]] = {}
        for route in sorted(routes, key=_rank_by_prefix_length):
            by_host.setdefault(route.host, []).append(route)
        return cls(
            version=version,
            routes_by_host=by_host,
            services_by_name={rule.name: rule for rule in services},
            limits=limits,
            holder_by_key=holder_by_key,
            quota_by_workspace=quota_by_workspace or {},
        )

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, or none."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _rank_by_prefix_length(route: RouteRule) -> int:
    return -len(route.prefix)
