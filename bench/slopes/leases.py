"""Costs of the lease object with its order journal."""

from bench.slopes.series import SERIES, TARGETS, Series, cpu_us, measure
from cicadahoist.protocol.records import (
    JournalEntry,
    LeaseRecord,
    decode_record,
    encode_record,
)

TARGETS_OF_A_ZONE = 70


def lease_of(targets: int) -> LeaseRecord:
    """Return a lease whose journal holds one order for each target."""
    orders = {
        f'engine-{number}': JournalEntry(
            target=f'engine-{number}',
            epoch=12,
            seq=1000 + number,
            kind='role',
            argument='prefill',
            settled=True,
        )
        for number in range(targets)
    }
    return LeaseRecord(
        epoch=12,
        holder='instance-1.0123456789abcdef01234567',
        nonce='0123456789abcdef01234567',
        seq=2000,
        orders=orders,
    )


def _codec_us(targets: int) -> float:
    record = lease_of(targets)
    return cpu_us(lambda: decode_record(encode_record(record)))


@SERIES.register('lease')
def lease_series() -> list[Series]:
    """Return size and codec cost of one lease object."""
    return [
        measure(
            'lease object',
            'targets of the zone',
            'bytes',
            TARGETS,
            lambda size: len(encode_record(lease_of(size))),
            TARGETS_OF_A_ZONE,
        ),
        measure(
            'encode and decode a lease',
            'targets of the zone',
            'us',
            TARGETS,
            _codec_us,
            TARGETS_OF_A_ZONE,
        ),
    ]
