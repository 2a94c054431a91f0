"""Saves and removes rows; prints both versions of a row on a conflict."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec
import typer

from cicadahoist.cmd.operator.exit_codes import NotFoundError, RejectedError
from cicadahoist.cmd.operator.output import (
    OutputFormat,
    align_columns,
    print_json,
)
from cicadahoist.cmd.operator.session import Session
from cicadahoist.errors import TableConflictError
from cicadahoist.outside.tablestore import RowChange
from cicadahoist.table import Row, row_key

FoundRow = TypeVar('FoundRow')


class SavedRow(msgspec.Struct, frozen=True, kw_only=True):
    """Printed result of a commit: key of the row and revision."""

    row: str
    revision: int
    removed: bool = False


async def save_changes(session: Session, changes: Sequence[RowChange]) -> int:
    """
    Commit changes in one revision.

    :return: the new revision
    :raises TableConflictError: another operator saved a row first; both
        versions have been printed
    """
    try:
        return await session.table_store.commit(list(changes))
    except TableConflictError:
        await _print_conflicts(session, changes)
        raise TableConflictError(
            'another operator saved first; nothing was saved',
            remedy='merge the two rows and save with the stored revision',
        ) from None


async def save_row(session: Session, row: Row) -> None:
    """Commit one row and print the new revision."""
    revision = await save_changes(session, [RowChange(row=row)])
    _print_saved(session, SavedRow(row=row_key(row), revision=revision))


async def remove_row(session: Session, row: Row) -> None:
    """Remove one row and print the new revision."""
    revision = await save_changes(
        session, [RowChange(row=row, is_removal=True)]
    )
    _print_saved(
        session, SavedRow(row=row_key(row), revision=revision, removed=True)
    )


def require_row(row: FoundRow | None, description: str) -> FoundRow:
    """
    Return a row that must exist.

    :param description: kind and name of the row, for the error message
    :raises NotFoundError: the row does not exist
    """
    if row is None:
        raise NotFoundError(
            f'the table holds no {description}', remedy='list what it holds'
        )
    return row


def require_absent(row: Row | None, description: str) -> None:
    """
    Check that a row to be created does not exist yet.

    :param description: kind and name of the row, for the error message
    :raises RejectedError: the row exists already
    """
    if row is not None:
        raise RejectedError(
            f'the table already holds {description}',
            remedy='choose another name',
        )


def _print_saved(session: Session, saved: SavedRow) -> None:
    if session.output_format is OutputFormat.json:
        print_json(saved)
        return
    verb = 'removed' if saved.removed else 'saved'
    typer.echo(f'{verb} {saved.row} in revision {saved.revision}', err=True)


async def _print_conflicts(
    session: Session, changes: Sequence[RowChange]
) -> None:
    table = await session.read_table()
    stored_by_key = {row_key(row): row for row in table.rows()}
    for change in changes:
        stored = stored_by_key.get(row_key(change.row))
        stored_revision = stored.revision if stored else 0
        if stored_revision != change.row.revision:
            print_conflict(stored, change.row)


def print_conflict(stored: Row | None, given: Row) -> None:
    """Print the stored row and the row that was not saved."""
    typer.echo(f'clash on {row_key(given)}', err=True)
    _print_labelled_row('stored', stored)
    _print_labelled_row('yours', given)


def _print_labelled_row(label: str, row: Row | None) -> None:
    lines = align_columns([row] if row else [])
    for line in lines:
        typer.echo(f'  {label}: {line}', err=True)
