"""Costs of the table: load, apply a revision, look up, send a delta."""

from collections.abc import Callable

import msgspec

from bench.slopes.deployment import (
    GOAL_TARGETS,
    GOAL_WORKSPACES,
    build_table,
    encode_shards,
)
from bench.slopes.series import (
    REVISIONS_PER_MINUTE,
    SERIES,
    TARGET_COUNTS,
    WORKSPACE_COUNTS,
    Series,
    measure_cpu_us,
    measure_heap_bytes,
    measure_series,
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
GOAL_REVISIONS_PER_MINUTE = 4000 / (24 * 60)

_decode_shard = msgspec.json.Decoder(Shard).decode


def _decode_table(payloads: list[bytes]) -> Table:
    return Table(1, [_decode_shard(payload) for payload in payloads])


def _measure_load_us(workspaces: int, targets: int) -> float:
    payloads = list(encode_shards(workspaces, targets).values())
    return measure_cpu_us(lambda: _decode_table(payloads))


def _measure_heap_bytes(workspaces: int, targets: int) -> float:
    payloads = list(encode_shards(workspaces, targets).values())
    return measure_heap_bytes(lambda: _decode_table(payloads))


def _make_apply(workspaces: int, targets: int) -> Callable[[], Table]:
    payloads = encode_shards(workspaces, targets)
    shards = {number: _decode_shard(body) for number, body in payloads.items()}
    changed = max(payloads, key=lambda number: len(payloads[number]))

    def apply() -> Table:
        shards[changed] = _decode_shard(payloads[changed])
        return Table(2, list(shards.values()))

    return apply


def _measure_lookup_us(workspaces: int) -> float:
    table = build_table(workspaces, GOAL_TARGETS)
    key = f'workspace-{workspaces // 2}-1'

    def look_up() -> None:
        grant = table.keys_by_digest[key_digest(key)]
        route = f'model-{workspaces // 2 % 24}'
        table.rules_by_pair[grant.workspace, route]

    return measure_cpu_us(look_up)


def build_delta_batch(workspaces: int, targets: int) -> Batch:
    """Return a batch with the delta of one changed row."""
    payloads = encode_shards(workspaces, targets)
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


def _compute_delta_bytes(workspaces: int) -> float:
    return len(encode_batch(build_delta_batch(workspaces, GOAL_TARGETS)))


def _measure_delta_us(workspaces: int) -> float:
    batch = build_delta_batch(workspaces, GOAL_TARGETS)
    return measure_cpu_us(lambda: decode_batch(encode_batch(batch)))


def _compute_largest_shard_bytes(workspaces: int) -> float:
    return max(map(len, encode_shards(workspaces, GOAL_TARGETS).values()))


@SERIES.register('table')
def measure_table() -> list[Series]:
    """Measure the costs of the table against workspaces and targets."""
    axis = 'workspaces'
    return [
        measure_series(
            'load the whole table',
            axis,
            'us',
            WORKSPACE_COUNTS,
            lambda size: _measure_load_us(size, GOAL_TARGETS),
        ),
        measure_series(
            'load the whole table',
            'targets',
            'us',
            TARGET_COUNTS,
            lambda size: _measure_load_us(GOAL_WORKSPACES, size),
        ),
        measure_series(
            'table in memory',
            axis,
            'bytes',
            WORKSPACE_COUNTS,
            lambda size: _measure_heap_bytes(size, GOAL_TARGETS),
        ),
        measure_series(
            'table in memory',
            'targets',
            'bytes',
            TARGET_COUNTS,
            lambda size: _measure_heap_bytes(GOAL_WORKSPACES, size),
        ),
        measure_series(
            'apply one changed shard',
            axis,
            'us',
            WORKSPACE_COUNTS,
            lambda size: measure_cpu_us(_make_apply(size, GOAL_TARGETS)),
        ),
        measure_series(
            'look up key and rule',
            axis,
            'us',
            WORKSPACE_COUNTS,
            _measure_lookup_us,
        ),
        measure_series(
            'delta of one row',
            axis,
            'bytes',
            WORKSPACE_COUNTS,
            _compute_delta_bytes,
        ),
        measure_series(
            'encode and decode a delta',
            axis,
            'us',
            WORKSPACE_COUNTS,
            _measure_delta_us,
        ),
        measure_series(
            'largest shard object',
            axis,
            'bytes',
            WORKSPACE_COUNTS,
            _compute_largest_shard_bytes,
        ),
    ]


@SERIES.register('revisions')
def measure_revisions() -> list[Series]:
    """Measure the cost of revisions for a table of the goal size."""
    apply = _make_apply(GOAL_WORKSPACES, GOAL_TARGETS)
    batch = build_delta_batch(GOAL_WORKSPACES, GOAL_TARGETS)
    size = len(encode_batch(batch))

    def measure_core_percent(revisions: int) -> float:
        busy_us = measure_cpu_us(lambda: [apply() for _ in range(revisions)])
        return 100 * busy_us / (S_PER_MINUTE * US_PER_S)

    return [
        measure_series(
            'apply revisions',
            'revisions a minute',
            '% of a core',
            REVISIONS_PER_MINUTE,
            measure_core_percent,
            GOAL_REVISIONS_PER_MINUTE,
        ),
        measure_series(
            'receive deltas',
            'revisions a minute',
            'bytes/s',
            REVISIONS_PER_MINUTE,
            lambda rate: rate * size / S_PER_MINUTE,
            GOAL_REVISIONS_PER_MINUTE,
        ),
    ]
