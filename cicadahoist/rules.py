"""The operator's configuration in force: routes, services, keys, limits."""

import msgspec

from cicadahoist.ids import fast_hash
from cicadahoist.requests import RepeatRule

SPLIT_STEPS = 10_000


class ServiceShare(msgspec.Struct, frozen=True):
    """One service of a route and the weight of its share."""

    service: str
    weight: int


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """
    One route.

    :param prefix: path prefix, begins and ends with a slash
    :param repeat: whether requests may run again
    :param is_streamed: whether the answer is a series of events
    :param timeout_ms: longest time a caller is kept waiting
    :param latency_objective_ms: time within which an answer should begin
    :param priority: rank of the route, 0 is the highest
    :param shares: services that serve it
    :param max_sends: targets to which one attempt may be sent
    :param is_open: whether no key is needed
    :param uses_engines: whether requests describe prompts
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
        """Return the service of a request by the weights of the route."""
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
    Sizes of the engines of a service.

    :param slots: requests that one engine runs at once
    :param cache_tokens: tokens that its memory holds
    :param role_change_ms: time that an engine is away for a change of role
    """

    slots: int = 32
    cache_tokens: int = 0
    role_change_ms: int = 0


class OrderLimits(msgspec.Struct, frozen=True, kw_only=True):
    """
    What may be ordered of a service in one availability zone.

    :param boot_ms: time until an ordered target serves
    :param cheap_price_ratio: price of reclaimable targets against others
    :param price_by_zone: price of a target in each availability zone
    """

    min_targets: int
    max_targets: int
    boot_ms: int = 0
    cheap_price_ratio: float = 1
    price_by_zone: dict[str, float] = {}


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True):
    """One service: its health path, connection limit, engines and orders."""

    name: str
    health_path: str = '/health'
    max_connections: int = 64
    engine: EngineSizes | None = None
    orders: OrderLimits | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what a caller may send, and on its pauses."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class KeyHolder(msgspec.Struct, frozen=True):
    """The workspace of a key, and its rank where it has one of its own."""

    workspace: str
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """
    One version of the configuration.

    :param routes_by_host: the routes of each host, longest prefix first
    :param holder_by_key: workspaces by their keys, none where routes need none
    """

    version: int
    routes_by_host: dict[str, list[RouteRule]]
    services_by_name: dict[str, ServiceRule]
    limits: CallerLimits = CallerLimits()
    holder_by_key: dict[str, KeyHolder] | None = None

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[RouteRule],
        services: list[ServiceRule],
        limits: CallerLimits,
        holder_by_key: dict[str, KeyHolder] | None,
    ) -> 'Deployment':
        """Return a deployment, its routes sorted for lookups."""
        by_host: dict[str, list[RouteRule]] = {}
        for route in sorted(routes, key=_rank_by_prefix_length):
            by_host.setdefault(route.host, []).append(route)
        return cls(
            version=version,
            routes_by_host=by_host,
            services_by_name={rule.name: rule for rule in services},
            limits=limits,
            holder_by_key=holder_by_key,
        )

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of a path, or none."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _rank_by_prefix_length(route: RouteRule) -> int:
    return -len(route.prefix)
