"""Messages of the interfaces of the platform."""

import msgspec


class TargetOrderCall(msgspec.Struct, frozen=True, kw_only=True):
    """
    An order to buy or release a target.

    :param token: the same token never acts twice
    :param epoch: fencing number of the lease under which it is sent
    :param kind: ``buy`` or ``release``
    :param reclaimable: whether a cheaper target that may vanish will do
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
    What became of an order.

    :param state: ``accepted``, ``unavailable`` or ``done``
    :param target: the target that was bought or released
    """

    token: str
    state: str
    target: str = ''


class RunningTarget(msgspec.Struct, frozen=True, kw_only=True):
    """
    A target that is running and paid for.

    :param price: cost while running, in thousandths of a unit an hour
    :param reclaim_in_ms: time until it vanishes, none without a notice
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
    Figures of one workspace and billing window.

    :param epoch: fencing number of the lease under which it is sent
    :param adjustments: tokens of earlier windows that came late
    """

    epoch: int
    prompt_tokens: int
    output_tokens: int
    requests: int
    adjustments: int = 0


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that the platform lists, late."""

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
