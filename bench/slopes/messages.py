"""Size and codec cost of the batches that instances exchange."""

from bench.slopes.series import (
    INSTANCE_COUNTS,
    SERIES,
    Series,
    measure_cpu_us,
    measure_series,
)
from cicadahoist.messages import (
    Batch,
    Heartbeat,
    InstanceInfo,
    LoadView,
    decode_batch,
    encode_batch,
)

GOAL_INSTANCES_PER_ZONE = 15
TARGETS_IN_VIEW = (5, 20, 70, 200, 600)
TARGETS_PER_ZONE = 70
INCARNATION = '0123456789abcdef01234567'


def _build_batch(messages) -> Batch:
    sender = InstanceInfo(
        name='instance-1',
        zone='zone-1',
        address='10.0.0.1',
        port=8090,
        incarnation=INCARNATION,
    )
    return Batch(sender=sender, sequence=1000, messages=messages)


def build_heartbeat_batch(instances: int) -> Batch:
    """Return a batch with a heartbeat that lists all instances as heard."""
    heard = {f'instance-{number}': INCARNATION for number in range(instances)}
    return _build_batch(
        [Heartbeat(heard=heard, revision=9, in_force_ms=10_000)]
    )


def build_load_batch(targets: int) -> Batch:
    """Return a batch with a load view of a zone's targets."""
    by_target = {
        f'engine-{number}': (1000 + number, 12) for number in range(targets)
    }
    return _build_batch([LoadView(by_target=by_target)])


def _measure_codec_us(batch: Batch) -> float:
    return measure_cpu_us(lambda: decode_batch(encode_batch(batch)))


@SERIES.register('batches')
def measure_batches() -> list[Series]:
    """Measure size and codec cost of one batch."""
    return [
        measure_series(
            'heartbeat batch',
            'instances heard',
            'bytes',
            INSTANCE_COUNTS,
            lambda size: len(encode_batch(build_heartbeat_batch(size))),
            GOAL_INSTANCES_PER_ZONE,
        ),
        measure_series(
            'encode and decode a heartbeat',
            'instances heard',
            'us',
            INSTANCE_COUNTS,
            lambda size: _measure_codec_us(build_heartbeat_batch(size)),
            GOAL_INSTANCES_PER_ZONE,
        ),
        measure_series(
            'load view batch',
            'targets in view',
            'bytes',
            TARGETS_IN_VIEW,
            lambda size: len(encode_batch(build_load_batch(size))),
            TARGETS_PER_ZONE,
        ),
        measure_series(
            'encode and decode a load view',
            'targets in view',
            'us',
            TARGETS_IN_VIEW,
            lambda size: _measure_codec_us(build_load_batch(size)),
            TARGETS_PER_ZONE,
        ),
    ]
