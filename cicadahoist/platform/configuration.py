"""Decodes the operator's configuration from the platform's store."""

import msgspec

from cicadahoist.errors import WireError
from cicadahoist.requests import RepeatRule
from cicadahoist.rules import (
    CallerLimits,
    Deployment,
    EngineSizes,
    KeyHolder,
    OrderLimits,
    Quota,
    RouteRule,
    ServiceRule,
    ServiceShare,
)

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
MS_PER_S = 1000
NO_PRIORITY = 9
# Unit of a quota whose figures are tokens; with any other, they are requests.
TOKEN_UNIT = 'token_stream'


class _WireShare(msgspec.Struct, rename='kebab'):
    service: str
    weight: int = 1


class _WireRoute(msgspec.Struct, rename='kebab', kw_only=True):
    name: str
    host: str
    path_prefix: str
    # Determines the repeat rule and whether the answer is an event stream.
    kind: str
    timeout_ms: float
    # Objective for the complete answer, or for the first event of a stream.
    target_latency_ms: float = 0
    priority: int = NO_PRIORITY
    service: str = ''
    traffic_split: list[_WireShare] = []
    max_attempts: int = 1
    public: bool = False
    # Whether requests describe their prompts in headers.
    sticky: bool = False
    resumable: bool = False


class _WireEngine(msgspec.Struct, rename='kebab', kw_only=True):
    slots: int = 32
    kv_capacity_tokens: int = 0
    role_switch_s: float = 0


class _WireScale(msgspec.Struct, rename='kebab', kw_only=True):
    min: int = 1
    max: int = 1
    boot_s: float = 0
    spot_price: float = 1
    zone_prices: dict[str, float] = {}


class _WireService(msgspec.Struct, rename='kebab', kw_only=True):
    name: str
    health_path: str = '/health'
    max_conns: int = 64
    engine: _WireEngine | None = None
    autoscale: _WireScale | None = None


class _WireTenant(msgspec.Struct, rename='kebab', kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str | None = None
    # Tokens that a request without a token count counts as.
    plain_tokens: float | None = None
    # None or 0 for no limit.
    rate_per_s: float | None = None
    burst: float | None = None


class _WireConfig(msgspec.Struct, rename='kebab', kw_only=True):
    version: int
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: dict[str, float] = {}
    tenants: list[_WireTenant] | None = None


def decode_deployment(spec: object) -> Deployment:
    """
    Decode a configuration.

    :param spec: decoded JSON content of the configuration object
    :return: the routes, services, limits and keys to serve
    :raises WireError: the content is not a valid configuration
    """
    try:
        wire = msgspec.convert(spec, _WireConfig)
    except msgspec.ValidationError as error:
        raise WireError(
            f'undecodable configuration: {error}',
            remedy='correct it; the previous version stays in force',
        ) from error
    return Deployment.from_routes(
        wire.version,
        [_build_route(route) for route in wire.routes],
        [_build_service(service) for service in wire.services],
        _build_limits(wire.limits),
        _index_key_holders(wire.tenants),
        _build_quotas(wire.tenants or []),
    )


def _build_route(wire: _WireRoute) -> RouteRule:
    shares = [
        ServiceShare(share.service, share.weight)
        for share in wire.traffic_split
    ]
    return RouteRule(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        repeat=_choose_repeat_rule(wire),
        is_streamed=wire.kind == 'streaming',
        timeout_ms=round(wire.timeout_ms),
        latency_objective_ms=round(wire.target_latency_ms),
        priority=wire.priority,
        shares=tuple(shares) or (ServiceShare(wire.service, 1),),
        max_sends=wire.max_attempts,
        is_open=wire.public,
        uses_engines=wire.sticky,
    )


def _choose_repeat_rule(wire: _WireRoute) -> RepeatRule:
    if wire.kind == 'safe':
        return RepeatRule.repeatable
    if wire.kind == 'streaming' and wire.resumable:
        return RepeatRule.resumable
    return RepeatRule.once


def _build_service(wire: _WireService) -> ServiceRule:
    engine: EngineSizes | None = None
    orders: OrderLimits | None = None
    if wire.engine is not None:
        engine = EngineSizes(
            slots=wire.engine.slots,
            cache_tokens=wire.engine.kv_capacity_tokens,
            role_change_ms=round(wire.engine.role_switch_s * MS_PER_S),
        )
    if wire.autoscale is not None:
        orders = OrderLimits(
            min_targets=wire.autoscale.min,
            max_targets=wire.autoscale.max,
            boot_ms=round(wire.autoscale.boot_s * MS_PER_S),
            cheap_price_ratio=wire.autoscale.spot_price,
            price_by_zone=wire.autoscale.zone_prices,
        )
    return ServiceRule(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=engine,
        orders=orders,
    )


def _build_limits(wire: dict[str, float]) -> CallerLimits:
    field_by_name = {
        'max-header-bytes': 'header_bytes',
        'max-body-bytes': 'body_bytes',
        'header-timeout-ms': 'header_timeout_ms',
        'idle-timeout-ms': 'idle_timeout_ms',
    }
    return CallerLimits(
        **{
            field_by_name[name]: round(bound)
            for name, bound in wire.items()
            if name in field_by_name
        }
    )


def _index_key_holders(
    tenants: list[_WireTenant] | None,
) -> dict[str, KeyHolder] | None:
    if tenants is None:
        return None
    return {
        key: KeyHolder(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }


def _build_quotas(tenants: list[_WireTenant]) -> dict[str, Quota]:
    return {
        tenant.name: Quota(
            tokens_per_s=tenant.rate_per_s or 0,
            burst_tokens=tenant.burst or 0,
            counts_tokens=tenant.unit == TOKEN_UNIT,
            plain_tokens=tenant.plain_tokens or 0,
        )
        for tenant in tenants
        if (tenant.rate_per_s or 0) > 0 and (tenant.burst or 0) > 0
    }
