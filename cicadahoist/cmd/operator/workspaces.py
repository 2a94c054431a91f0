"""Commands for workspaces."""

from typing import Annotated

import msgspec
import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.rows import (
    require_absent,
    require_row,
    save_row,
)
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.text_formats import NAME_FORMAT
from cicadahoist.table import Workspace

workspaces = typer.Typer(help='Workspaces (tenants).', no_args_is_help=True)

NameArgument = Annotated[str, typer.Argument(help='Name of the workspace.')]


@add_command(workspaces, 'list')
async def list_workspaces(session: Session) -> None:
    """List all workspaces."""
    table = await session.read_table()
    by_name = table.workspaces_by_name
    session.show([by_name[name] for name in sorted(by_name)])


@add_command(workspaces, 'create')
async def create_workspace(session: Session, name: NameArgument) -> None:
    """Create a workspace."""
    NAME_FORMAT.check(name)
    table = await session.read_table()
    require_absent(table.workspaces_by_name.get(name), f'workspace {name}')
    await save_row(session, Workspace(name=name))


@add_command(workspaces, 'disable')
async def disable_workspace(session: Session, name: NameArgument) -> None:
    """Refuse all requests of a workspace until it is enabled again."""
    await _set_enabled(session, name, enabled=False)


@add_command(workspaces, 'enable')
async def enable_workspace(session: Session, name: NameArgument) -> None:
    """Accept requests of a workspace again."""
    await _set_enabled(session, name, enabled=True)


async def _set_enabled(session: Session, name: str, *, enabled: bool) -> None:
    table = await session.read_table()
    row = require_row(table.workspaces_by_name.get(name), f'workspace {name}')
    await save_row(session, msgspec.structs.replace(row, enabled=enabled))
