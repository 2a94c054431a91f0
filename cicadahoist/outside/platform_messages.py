"""Messages exchanged with the platform."""

import msgspec


class TargetOrderCall(msgspec.Struct, frozen=True, kw_only=True):
    """
    An order to buy or release a target.

    :param token: makes the order idempotent: it acts once for each token
    :param epoch: fencing token of the lease under which it is sent
    :param kind: ``buy`` or ``release``
    :param reclaimable: whether a cheaper, reclaimable target is acceptable
    :param target: the target to release
    """

    token: str
    epoch: int
    zone: str
    kind: str
    pool: str = ''
    reclaimable: bool = False
    target: str = ''


class TargetOrderState(msgspec.Struct, frozen=True, kw_only=True):
    """
    State of an order.

    :param state: ``accepted``, ``unavailable`` or ``done``
    :param target: the target that was bought or released
    """

    token: str
    state: str
    target: str = ''


class RunningTarget(msgspec.Struct, frozen=True, kw_only=True):
    """
    A target that is running and paid for.

    :param price: cost while running, in thousandths of a unit per hour
    :param reclaim_in_ms: time until it is reclaimed, none without a notice
    """

    name: str
    zone: str
    pool: str
    url: str
    price: int
    reclaimable: bool
    reclaim_in_ms: int | None = None


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """
    Usage of one workspace in one billing window.

    :param epoch: fencing token of the lease under which it is sent
    :param adjustments: tokens of earlier windows that were counted late
    """

    epoch: int
    prompt_tokens: int
    output_tokens: int
    requests: int
    adjustments: int = 0


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the platform's list of instances, which lags."""

    name: str
    zone: str
    address: str
    port: int
    state: str = 'live'


class TargetOrderAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /target-orders``."""

    orders: list[TargetOrderState]


class RunningTargets(msgspec.Struct, frozen=True):
    """Answer of ``GET /targets``."""

    targets: list[RunningTarget]


class ListedInstances(msgspec.Struct, frozen=True):
    """Answer of ``GET /instances``."""

    instances: list[ListedInstance]
