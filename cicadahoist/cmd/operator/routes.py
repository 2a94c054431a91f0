"""Commands for routes to models and services."""

from typing import Annotated

import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.exit_codes import RejectedError
from cicadahoist.cmd.operator.rows import (
    remove_row,
    require_absent,
    require_row,
    save_row,
)
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.text_formats import MODEL_NAME_FORMAT, NAME_FORMAT
from cicadahoist.table import Route, RouteKind

routes = typer.Typer(
    help='Routes to models and services.', no_args_is_help=True
)
models = typer.Typer(help='Routes to models.', no_args_is_help=True)

NameArgument = Annotated[str, typer.Argument(help='Name of the route.')]
PoolOption = Annotated[
    str, typer.Option(help='Pool of targets that serve the route.')
]
KindOption = Annotated[
    RouteKind,
    typer.Option(help='Whether a model or a service serves the route.'),
]
VersionOption = Annotated[str, typer.Option(help='Version of the model.')]
UnrepeatableOption = Annotated[
    bool, typer.Option('--unrepeatable', help='A request runs at most once.')
]
OpenOption = Annotated[
    bool, typer.Option('--open', help='Accept requests without a key.')
]


@add_command(routes, 'list')
async def list_routes(session: Session) -> None:
    """List all routes, including those to models."""
    by_name = (await session.read_table()).routes_by_name
    session.show([by_name[name] for name in sorted(by_name)])


@add_command(models, 'list')
async def list_models(session: Session) -> None:
    """List routes to models."""
    by_name = (await session.read_table()).routes_by_name
    session.show(
        [
            by_name[name]
            for name in sorted(by_name)
            if by_name[name].kind is RouteKind.model
        ]
    )


@add_command(routes, 'create')
async def create_route(
    session: Session,
    name: NameArgument,
    pool: PoolOption,
    kind: KindOption = RouteKind.model,
    version: VersionOption = '1',
    unrepeatable: UnrepeatableOption = False,
    open_to_all: OpenOption = False,
) -> None:
    """Create a route."""
    name_format = MODEL_NAME_FORMAT if kind is RouteKind.model else NAME_FORMAT
    name_format.check(name)
    row = Route(
        name=name,
        pool=pool,
        kind=kind,
        version=version,
        repeatable=not unrepeatable,
        open_to_all=open_to_all,
    )
    table = await session.read_table()
    require_absent(table.routes_by_name.get(name), f'route {name}')
    await save_row(session, row)


@add_command(models, 'create')
async def create_model(
    session: Session,
    name: NameArgument,
    pool: PoolOption,
    version: VersionOption = '1',
) -> None:
    """Create a route to a model."""
    await create_route(session, name, pool, RouteKind.model, version)


@add_command(routes, 'remove')
async def remove_route(session: Session, name: NameArgument) -> None:
    """Remove a route that no rule of the table uses."""
    table = await session.read_table()
    row = require_row(table.routes_by_name.get(name), f'route {name}')
    used_by = [pair for pair in table.rules_by_pair if pair[1] == name]
    if used_by:
        raise RejectedError(
            f'{len(used_by)} rules use route {name}',
            remedy='remove them with "table remove" first',
        )
    await remove_row(session, row)
