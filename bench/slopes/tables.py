"""Costs of the table: loading, applying a revision, looking up, passing on."""

from collections.abc import Callable

import msgspec

from bench.slopes.deployment import (
    TARGET_TARGETS,
    TARGET_WORKSPACES,
    payloads_for,
    table_for,
)
from bench.slopes.series import (
    REVISIONS,
    SERIES,
    TARGETS,
    WORKSPACES,
    Series,
    cpu_us,
    heap_bytes,
    measure,
)
from cicadahoist.ids import key_digest
from cicadahoist.messages import (
    Batch,
    InstanceInfo,
    TableDelta,
    decode_batch,
    encode_batch,
)
from cicadahoist.table import Head, Shard, Table

US_PER_S = 1_000_000
S_PER_MINUTE = 60
TARGET_REVISIONS_PER_MINUTE = 4000 / (24 * 60)

_decode_shard = msgspec.json.Decoder(Shard).decode


def _load(payloads: list[bytes]) -> Table:
    return Table(1, [_decode_shard(payload) for payload in payloads])


def _load_us(workspaces: int, targets: int) -> float:
    payloads = list(payloads_for(workspaces, targets).values())
    return cpu_us(lambda: _load(payloads))


def _heap(workspaces: int, targets: int) -> float:
    payloads = list(payloads_for(workspaces, targets).values())
    return heap_bytes(lambda: _load(payloads))


def _apply(workspaces: int, targets: int) -> Callable[[], Table]:
    payloads = payloads_for(workspaces, targets)
    shards = {number: _decode_shard(body) for number, body in payloads.items()}
    changed = max(payloads, key=lambda number: len(payloads[number]))

    def apply() -> Table:
        shards[changed] = _decode_shard(payloads[changed])
        return Table(2, list(shards.values()))

    return apply


def _lookup_us(workspaces: int) -> float:
    table = table_for(workspaces, TARGET_TARGETS)
    key = f'workspace-{workspaces // 2}-1'

    def look_up() -> None:
        grant = table.keys_by_digest[key_digest(key)]
        route = f'model-{workspaces // 2 % 24}'
        table.rules_by_pair[grant.workspace, route]

    return cpu_us(look_up)


def delta_batch(workspaces: int, targets: int) -> Batch:
    """Return a batch with the delta of one changed row."""
    payloads = payloads_for(workspaces, targets)
    sizes = sorted(payloads.values(), key=len)
    head = Head(
        revision=2,
        shards={
            number: f'table/shards/{number}/{"0" * 24}' for number in payloads
        },
        commits=['0' * 24] * 64,
    )
    delta = TableDelta(
        base=1,
        head=msgspec.json.encode(head),
        shards={f'table/shards/00/{"0" * 24}': sizes[len(sizes) // 2]},
    )
    sender = InstanceInfo(
        name='instance-1',
        zone='zone-1',
        address='10.0.0.1',
        port=8090,
        incarnation='0' * 24,
    )
    return Batch(sender=sender, sequence=1, messages=[delta])


def _delta_bytes(workspaces: int) -> float:
    return len(encode_batch(delta_batch(workspaces, TARGET_TARGETS)))


def _delta_us(workspaces: int) -> float:
    batch = delta_batch(workspaces, TARGET_TARGETS)
    return cpu_us(lambda: decode_batch(encode_batch(batch)))


def _largest_shard(workspaces: int) -> float:
    return max(map(len, payloads_for(workspaces, TARGET_TARGETS).values()))


@SERIES.register('table')
def table_series() -> list[Series]:
    """Return the costs of the table against workspaces and targets."""
    at_workspaces = 'workspaces'
    return [
        measure(
            'load the whole table',
            at_workspaces,
            'us',
            WORKSPACES,
            lambda size: _load_us(size, TARGET_TARGETS),
        ),
        measure(
            'load the whole table',
            'targets',
            'us',
            TARGETS,
            lambda size: _load_us(TARGET_WORKSPACES, size),
        ),
        measure(
            'table in memory',
            at_workspaces,
            'bytes',
            WORKSPACES,
            lambda size: _heap(size, TARGET_TARGETS),
        ),
        measure(
            'table in memory',
            'targets',
            'bytes',
            TARGETS,
            lambda size: _heap(TARGET_WORKSPACES, size),
        ),
        measure(
            'apply one changed shard',
            at_workspaces,
            'us',
            WORKSPACES,
            lambda size: cpu_us(_apply(size, TARGET_TARGETS)),
        ),
        measure(
            'look up key and rule', at_workspaces, 'us', WORKSPACES, _lookup_us
        ),
        measure(
            'delta of one row', at_workspaces, 'bytes', WORKSPACES, _delta_bytes
        ),
        measure(
            'encode and decode a delta',
            at_workspaces,
            'us',
            WORKSPACES,
            _delta_us,
        ),
        measure(
            'largest shard object',
            at_workspaces,
            'bytes',
            WORKSPACES,
            _largest_shard,
        ),
    ]


@SERIES.register('revisions')
def revision_series() -> list[Series]:
    """Return what revisions cost an instance at the target's table size."""
    apply = _apply(TARGET_WORKSPACES, TARGET_TARGETS)
    batch = delta_batch(TARGET_WORKSPACES, TARGET_TARGETS)
    size = len(encode_batch(batch))

    def share_of_core(revisions: int) -> float:
        busy_us = cpu_us(lambda: [apply() for _ in range(revisions)])
        return 100 * busy_us / (S_PER_MINUTE * US_PER_S)

    return [
        measure(
            'apply revisions',
            'revisions a minute',
            '% of a core',
            REVISIONS,
            share_of_core,
            TARGET_REVISIONS_PER_MINUTE,
        ),
        measure(
            'receive deltas',
            'revisions a minute',
            'bytes/s',
            REVISIONS,
            lambda rate: rate * size / S_PER_MINUTE,
            TARGET_REVISIONS_PER_MINUTE,
        ),
    ]
