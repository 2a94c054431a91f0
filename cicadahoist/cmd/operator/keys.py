"""Commands for the API keys of callers."""

import secrets
import sys
from typing import Annotated

import msgspec
import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.exit_codes import RejectedError
from cicadahoist.cmd.operator.rows import (
    require_absent,
    require_row,
    save_changes,
    save_row,
)
from cicadahoist.cmd.operator.session import Session
from cicadahoist.ids import key_digest
from cicadahoist.outside.tablestore import RowChange
from cicadahoist.table import KeyGrant, Table

KEY_BYTES = 24
MIN_DIGEST_CHARACTERS = 8
READ_FROM_STDIN = '-'

keys = typer.Typer(help="Callers' keys.", no_args_is_help=True)


class CreatedKey(msgspec.Struct, frozen=True, kw_only=True):
    """A new key; it is printed once and only its digest is stored."""

    key: str
    digest: str
    workspace: str
    label: str
    revision: int


@add_command(keys, 'list')
async def list_keys(
    session: Session,
    workspace: Annotated[
        str | None, typer.Option(help='Only keys of this workspace.')
    ] = None,
) -> None:
    """List the digests of keys; the keys themselves are not stored."""
    table = await session.read_table()
    grants = sorted(table.keys_by_digest.values(), key=_get_listing_order)
    session.show([row for row in grants if workspace in {None, row.workspace}])


@add_command(keys, 'create')
async def create_key(
    session: Session,
    workspace: Annotated[str, typer.Argument(help='Workspace of the key.')],
    key: Annotated[
        str | None,
        typer.Option(
            help='Key to grant, - for standard input; random by default.'
        ),
    ] = None,
    label: Annotated[str, typer.Option(help='Note for operators.')] = '',
) -> None:
    """Grant a key, print it once and store its digest."""
    secret = _read_key(key) or secrets.token_urlsafe(KEY_BYTES)
    digest = key_digest(secret)
    table = await session.read_table()
    require_row(
        table.workspaces_by_name.get(workspace), f'workspace {workspace}'
    )
    require_absent(table.keys_by_digest.get(digest), 'this key')
    row = KeyGrant(digest=digest, workspace=workspace, label=label)
    revision = await save_changes(session, [RowChange(row=row)])
    session.show(
        [
            CreatedKey(
                key=secret,
                digest=digest,
                workspace=workspace,
                label=label,
                revision=revision,
            )
        ]
    )


@add_command(keys, 'withdraw')
async def withdraw_key(
    session: Session,
    digest: Annotated[
        str | None,
        typer.Argument(
            help='Digest of the key, or at least its first 8 characters.'
        ),
    ] = None,
    key: Annotated[
        str | None, typer.Option(help='The key itself, - for standard input.')
    ] = None,
) -> None:
    """Withdraw a key and end the open requests of its callers."""
    secret = _read_key(key)
    prefix = key_digest(secret) if secret else digest or ''
    table = await session.read_table()
    row = _find_key(table, prefix)
    await save_row(session, msgspec.structs.replace(row, withdrawn=True))


def _get_listing_order(row: KeyGrant) -> tuple[str, str]:
    return (row.workspace, row.digest)


def _read_key(key: str | None) -> str | None:
    if key == READ_FROM_STDIN:
        key = sys.stdin.readline().strip()
    if key is not None and not key:
        raise RejectedError('the key is empty', remedy='give a key')
    return key


def _find_key(table: Table, prefix: str) -> KeyGrant:
    if len(prefix) < MIN_DIGEST_CHARACTERS:
        raise RejectedError(
            f'digest {prefix!r} is too short',
            remedy=f'give {MIN_DIGEST_CHARACTERS} characters or more, or --key',
        )
    matches = [
        row
        for row in table.keys_by_digest.values()
        if row.digest.startswith(prefix)
    ]
    if len(matches) > 1:
        raise RejectedError(
            f'{len(matches)} keys start with {prefix}',
            remedy='give more characters of the digest',
        )
    return require_row(matches[0] if matches else None, f'key {prefix}')
