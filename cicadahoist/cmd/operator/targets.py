"""Commands for targets."""

from typing import Annotated

import msgspec
import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.row_text import apply_assignments
from cicadahoist.cmd.operator.rows import (
    remove_row,
    require_absent,
    require_row,
    save_row,
)
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.text_formats import NAME_FORMAT, URL_FORMAT
from cicadahoist.table import RouteKind, Target

targets = typer.Typer(help='Engines and services.', no_args_is_help=True)

NameArgument = Annotated[str, typer.Argument(help='Name of the target.')]
PoolOption = Annotated[str, typer.Option(help='Pool that it belongs to.')]
UrlOption = Annotated[str, typer.Option(help='URL, http://ip:port.')]
ZoneOption = Annotated[str, typer.Option(help='Availability zone.')]
KindOption = Annotated[RouteKind, typer.Option(help='Engine or service.')]
FencingOption = Annotated[
    bool, typer.Option(help='It rejects orders with an old fencing token.')
]
ReclaimableOption = Annotated[
    bool, typer.Option('--reclaimable', help='The platform may reclaim it.')
]


@add_command(targets, 'list')
async def list_targets(session: Session) -> None:
    """List all targets."""
    by_name = (await session.read_table()).targets_by_name
    session.show([by_name[name] for name in sorted(by_name)])


@add_command(targets, 'add')
async def add_target(
    session: Session,
    name: NameArgument,
    pool: PoolOption,
    url: UrlOption,
    zone: ZoneOption,
    kind: KindOption = RouteKind.model,
    fencing: FencingOption = True,
    reclaimable: ReclaimableOption = False,
) -> None:
    """Add a target to a pool."""
    NAME_FORMAT.check(name)
    URL_FORMAT.check(url)
    row = Target(
        name=name,
        pool=pool,
        url=url,
        zone=zone,
        kind=kind,
        fencing=fencing,
        reclaimable=reclaimable,
    )
    table = await session.read_table()
    require_absent(table.targets_by_name.get(name), f'target {name}')
    await save_row(session, row)


@add_command(targets, 'set')
async def set_target(
    session: Session,
    name: NameArgument,
    fields: Annotated[
        list[str], typer.Argument(help='FIELD=VALUE, any number.')
    ],
) -> None:
    """Change fields of a target, such as its price."""
    table = await session.read_table()
    row = require_row(table.targets_by_name.get(name), f'target {name}')
    changed = apply_assignments(row, fields)
    URL_FORMAT.check(changed.url)
    await save_row(session, changed)


@add_command(targets, 'drain')
async def drain_target(
    session: Session,
    name: NameArgument,
    undo: Annotated[
        bool, typer.Option('--undo', help='Send it new requests again.')
    ] = False,
) -> None:
    """Send a target no new requests; its open requests finish."""
    table = await session.read_table()
    row = require_row(table.targets_by_name.get(name), f'target {name}')
    await save_row(session, msgspec.structs.replace(row, draining=not undo))


@add_command(targets, 'remove')
async def remove_target(session: Session, name: NameArgument) -> None:
    """Remove a target; drain it first."""
    table = await session.read_table()
    row = require_row(table.targets_by_name.get(name), f'target {name}')
    await remove_row(session, row)
