"""The fleet and its demand, as input of planners."""

from enum import Enum

import msgspec


class Role(Enum):
    """Main work of an engine."""

    mixed = 'mixed'
    prefill = 'prefill'
    decode = 'decode'


class TargetPhase(Enum):
    """Phase in the life cycle of a target."""

    ordered = 'ordered'
    ready = 'ready'
    changing = 'changing'
    leaving = 'leaving'


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """
    One target.

    :param price: cost while running, in thousandths of a unit per hour
    :param models: loaded models
    """

    name: str
    pool: str
    zone: str
    role: Role = Role.mixed
    phase: TargetPhase = TargetPhase.ready
    price: int = 1000
    reclaimable: bool = False
    open_requests: int = 0
    models: frozenset[str] = frozenset()


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True):
    """
    Demand for a pool.

    :param prefill_per_ms: prompt tokens per ms, without cached ones
    :param decode_per_ms: output tokens per ms
    :param urgent_prefill_per_ms: the part of requests whose callers wait
    :param urgent_decode_per_ms: the part of requests whose callers wait
    :param strict_engines: engines that work with deadlines in seconds needs,
        as a fractional number
    :param batch_engines: engines that deferrable work needs from now on to
        meet its deadlines, as a fractional number
    """

    pool: str
    prefill_per_ms: float = 0
    decode_per_ms: float = 0
    urgent_prefill_per_ms: float = 0
    urgent_decode_per_ms: float = 0
    strict_engines: float = 0
    batch_engines: float = 0


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """
    Unmet demand for one model.

    :param size_mb: size of its weights
    :param missed_per_s: requests per second that find no target with the model
        or wait for one
    """

    pool: str
    model: str
    size_mb: int
    missed_per_s: float


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """
    The targets of a zone or region and the demand for them.

    :param zones: zones in which targets can be ordered
    :param cheap_unavailable: zones in which no cheap target is available
    :param day_ms: time since local midnight, for daily patterns
    """

    targets: list[TargetView]
    demands: list[PoolDemand]
    models: list[ModelDemand] = []
    zones: list[str] = []
    cheap_unavailable: frozenset[str] = frozenset()
    day_ms: int = 0

    def of_pool(self, pool: str) -> list[TargetView]:
        """Return the targets of a pool."""
        return [target for target in self.targets if target.pool == pool]
