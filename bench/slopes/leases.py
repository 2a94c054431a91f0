"""Size and codec cost of the lease object with its order journal."""

from bench.slopes.series import (
    SERIES,
    TARGET_COUNTS,
    Series,
    measure_cpu_us,
    measure_series,
)
from cicadahoist.protocol.records import (
    JournalEntry,
    LeaseRecord,
    decode_record,
    encode_record,
)

TARGETS_PER_ZONE = 70


def build_lease(targets: int) -> LeaseRecord:
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


def _measure_codec_us(targets: int) -> float:
    record = build_lease(targets)
    return measure_cpu_us(lambda: decode_record(encode_record(record)))


@SERIES.register('lease')
def measure_leases() -> list[Series]:
    """Measure size and codec cost of one lease object."""
    return [
        measure_series(
            'lease object',
            'targets of the zone',
            'bytes',
            TARGET_COUNTS,
            lambda size: len(encode_record(build_lease(size))),
            TARGETS_PER_ZONE,
        ),
        measure_series(
            'encode and decode a lease',
            'targets of the zone',
            'us',
            TARGET_COUNTS,
            _measure_codec_us,
            TARGETS_PER_ZONE,
        ),
    ]
