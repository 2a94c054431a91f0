"""Costs of the batches between instances."""

from bench.slopes.series import INSTANCES, SERIES, Series, cpu_us, measure
from cicadahoist.messages import (
    Batch,
    Heartbeat,
    InstanceInfo,
    LoadView,
    decode_batch,
    encode_batch,
)

TARGET_ZONE_INSTANCES = 15
TARGETS_IN_VIEW = (5, 20, 70, 200, 600)
TARGETS_OF_A_ZONE = 70
INCARNATION = '0123456789abcdef01234567'


def _batch(messages) -> Batch:
    sender = InstanceInfo(
        name='instance-1',
        zone='zone-1',
        address='10.0.0.1',
        port=8090,
        incarnation=INCARNATION,
    )
    return Batch(sender=sender, sequence=1000, messages=messages)


def heartbeat_batch(instances: int) -> Batch:
    """Return a batch with a heartbeat that heard all other instances."""
    heard = {f'instance-{number}': INCARNATION for number in range(instances)}
    return _batch([Heartbeat(heard=heard, revision=9, in_force_ms=10_000)])


def load_batch(targets: int) -> Batch:
    """Return a batch with a load view of a zone's targets."""
    by_target = {
        f'engine-{number}': (1000 + number, 12) for number in range(targets)
    }
    return _batch([LoadView(by_target=by_target)])


def _codec_us(batch: Batch) -> float:
    return cpu_us(lambda: decode_batch(encode_batch(batch)))


@SERIES.register('batches')
def batch_series() -> list[Series]:
    """Return size and codec cost of one batch."""
    return [
        measure(
            'heartbeat batch',
            'instances heard',
            'bytes',
            INSTANCES,
            lambda size: len(encode_batch(heartbeat_batch(size))),
            TARGET_ZONE_INSTANCES,
        ),
        measure(
            'encode and decode a heartbeat',
            'instances heard',
            'us',
            INSTANCES,
            lambda size: _codec_us(heartbeat_batch(size)),
            TARGET_ZONE_INSTANCES,
        ),
        measure(
            'load view batch',
            'targets in view',
            'bytes',
            TARGETS_IN_VIEW,
            lambda size: len(encode_batch(load_batch(size))),
            TARGETS_OF_A_ZONE,
        ),
        measure(
            'encode and decode a load view',
            'targets in view',
            'us',
            TARGETS_IN_VIEW,
            lambda size: _codec_us(load_batch(size)),
            TARGETS_OF_A_ZONE,
        ),
    ]
