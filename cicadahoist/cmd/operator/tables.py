"""Commands that show and change the rules of the table."""

from typing import Annotated

import msgspec
import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.row_text import apply_assignments
from cicadahoist.cmd.operator.rows import remove_row, require_row, save_row
from cicadahoist.cmd.operator.session import Session
from cicadahoist.table import Rule, Table

tables = typer.Typer(
    help='Weights and limits by workspace and route.', no_args_is_help=True
)

WorkspaceArgument = Annotated[str, typer.Argument(help='Workspace.')]
RouteArgument = Annotated[str, typer.Argument(help='Route.')]
RevisionOption = Annotated[
    int | None,
    typer.Option(help='Save only if the row still has this revision.'),
]


def list_rules(table: Table) -> list[Rule]:
    """Return all rules, sorted by workspace and route."""
    by_pair = table.rules_by_pair
    return [by_pair[pair] for pair in sorted(by_pair)]


@add_command(tables, 'show')
async def show_table(
    session: Session,
    workspace: Annotated[
        str | None, typer.Option(help='Only rows of this workspace.')
    ] = None,
) -> None:
    """Show the rules of the newest revision."""
    table = await session.read_table()
    session.show(
        [row for row in list_rules(table) if workspace in {None, row.workspace}]
    )
    typer.echo(f'revision {table.revision}', err=True)


@add_command(tables, 'set')
async def set_rule(
    session: Session,
    workspace: WorkspaceArgument,
    route: RouteArgument,
    fields: Annotated[
        list[str] | None, typer.Argument(help='FIELD=VALUE, any number.')
    ] = None,
    revision: RevisionOption = None,
) -> None:
    """Create a row or change its fields."""
    table = await session.read_table()
    require_row(
        table.workspaces_by_name.get(workspace), f'workspace {workspace}'
    )
    require_row(table.routes_by_name.get(route), f'route {route}')
    row = table.rules_by_pair.get(
        (workspace, route), Rule(workspace=workspace, route=route)
    )
    changed = apply_assignments(row, fields or [])
    if revision is not None:
        changed = msgspec.structs.replace(changed, revision=revision)
    await save_row(session, changed)


@add_command(tables, 'remove')
async def remove_rule(
    session: Session,
    workspace: WorkspaceArgument,
    route: RouteArgument,
    revision: RevisionOption = None,
) -> None:
    """Remove a row."""
    table = await session.read_table()
    row = require_row(
        table.rules_by_pair.get((workspace, route)),
        f'rule for {workspace} on {route}',
    )
    if revision is not None:
        row = msgspec.structs.replace(row, revision=revision)
    await remove_row(session, row)
