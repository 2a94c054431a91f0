"""Tables of a given size."""

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

MODELS = 24
RULES_PER_WORKSPACE = 4
KEYS_PER_WORKSPACE = 2
ZONES = 26
TARGET_WORKSPACES = 2900
TARGET_TARGETS = 1800
NO_URL = 'http://127.0.0.1:9'


def rows_for(workspaces: int, targets: int, url: str = NO_URL) -> list[Row]:
    """Return the rows of a deployment whose targets share an address."""
    rows: list[Row] = [
        Route(name=f'model-{number}', pool=f'pool-{number}', revision=1)
        for number in range(MODELS)
    ]
    rows.extend(
        Target(
            name=f'engine-{number}',
            pool=f'pool-{number % MODELS}',
            url=url,
            zone=f'zone-{number % ZONES}',
            revision=1,
        )
        for number in range(targets)
    )
    for number in range(workspaces):
        rows.extend(_workspace_rows(number))
    return rows


def _workspace_rows(number: int) -> list[Row]:
    name = f'workspace-{number}'
    keys = [
        KeyGrant(digest=key_digest(f'{name}-{key}'), workspace=name, revision=1)
        for key in range(KEYS_PER_WORKSPACE)
    ]
    rules = [
        Rule(
            workspace=name,
            route=f'model-{(number + rule) % MODELS}',
            revision=1,
        )
        for rule in range(RULES_PER_WORKSPACE)
    ]
    return [Workspace(name=name, revision=1), *keys, *rules]


def shards_for(
    workspaces: int, targets: int, url: str = NO_URL
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
    for row in rows_for(workspaces, targets, url):
        shard = by_number.setdefault(compute_shard_number(row), Shard())
        field = fields_by_kind[type(row)]
        setattr(shard, field, [*getattr(shard, field), row])
    return by_number


def payloads_for(
    workspaces: int, targets: int, url: str = NO_URL
) -> dict[str, bytes]:
    """Return the stored form of the shards of a deployment."""
    return {
        number: msgspec.json.encode(shard)
        for number, shard in shards_for(workspaces, targets, url).items()
    }


def table_for(workspaces: int, targets: int) -> Table:
    """Return the table of a deployment."""
    return Table(1, list(shards_for(workspaces, targets).values()))
