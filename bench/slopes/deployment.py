"""Builds tables of a given size."""

import msgspec

from cicadahoist.ids import key_digest
from cicadahoist.outside.tablestore import compute_shard_number
from cicadahoist.table import (
    KeyGrant,
    Route,
    Row,
    Rule,
    Shard,
    Table,
    Target,
    Workspace,
)

MODEL_COUNT = 24
RULES_PER_WORKSPACE = 4
KEYS_PER_WORKSPACE = 2
ZONE_COUNT = 26
GOAL_WORKSPACES = 2900
GOAL_TARGETS = 1800
UNUSED_URL = 'http://127.0.0.1:9'


def build_rows(
    workspaces: int, targets: int, url: str = UNUSED_URL
) -> list[Row]:
    """Return the rows of a deployment whose targets share one URL."""
    rows: list[Row] = [
        Route(name=f'model-{number}', pool=f'pool-{number}', revision=1)
        for number in range(MODEL_COUNT)
    ]
    rows.extend(
        Target(
            name=f'engine-{number}',
            pool=f'pool-{number % MODEL_COUNT}',
            url=url,
            zone=f'zone-{number % ZONE_COUNT}',
            revision=1,
        )
        for number in range(targets)
    )
    for number in range(workspaces):
        rows.extend(_build_workspace_rows(number))
    return rows


def _build_workspace_rows(number: int) -> list[Row]:
    name = f'workspace-{number}'
    keys = [
        KeyGrant(digest=key_digest(f'{name}-{key}'), workspace=name, revision=1)
        for key in range(KEYS_PER_WORKSPACE)
    ]
    rules = [
        Rule(
            workspace=name,
            route=f'model-{(number + rule) % MODEL_COUNT}',
            revision=1,
        )
        for rule in range(RULES_PER_WORKSPACE)
    ]
    return [Workspace(name=name, revision=1), *keys, *rules]


def build_shards(
    workspaces: int, targets: int, url: str = UNUSED_URL
) -> dict[str, Shard]:
    """Return the shards of a deployment by number."""
    by_number: dict[str, Shard] = {}
    fields_by_kind = {
        Workspace: 'workspaces',
        KeyGrant: 'keys',
        Target: 'targets',
        Route: 'routes',
        Rule: 'rules',
    }
    for row in build_rows(workspaces, targets, url):
        shard = by_number.setdefault(compute_shard_number(row), Shard())
        field = fields_by_kind[type(row)]
        setattr(shard, field, [*getattr(shard, field), row])
    return by_number


def encode_shards(
    workspaces: int, targets: int, url: str = UNUSED_URL
) -> dict[str, bytes]:
    """Return the shards of a deployment as stored, by number."""
    return {
        number: msgspec.json.encode(shard)
        for number, shard in build_shards(workspaces, targets, url).items()
    }


def build_table(workspaces: int, targets: int) -> Table:
    """Return the table of a deployment."""
    return Table(1, list(build_shards(workspaces, targets).values()))
