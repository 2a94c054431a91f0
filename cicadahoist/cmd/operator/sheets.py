"""Commands that export, import and compare rules as CSV sheets."""

from pathlib import Path
from typing import Annotated

import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.comparison import Comparison
from cicadahoist.cmd.operator.exit_codes import ExitCode, RejectedError
from cicadahoist.cmd.operator.output import OutputFormat
from cicadahoist.cmd.operator.row_text import format_sheet, parse_sheet
from cicadahoist.cmd.operator.rows import save_changes
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.tables import list_rules, tables

SheetArgument = Annotated[Path, typer.Argument(help='CSV file.')]


@add_command(tables, 'export')
async def export_table(
    session: Session,
    sheet: Annotated[
        Path | None, typer.Argument(help='CSV file; default: standard output.')
    ] = None,
) -> None:
    """Write all rules to a CSV sheet."""
    table = await session.read_table()
    rules = list_rules(table)
    if session.output_format is OutputFormat.json:
        session.show(rules)
    elif sheet is None:
        typer.echo(format_sheet(rules), nl=False)
    else:
        sheet.write_text(format_sheet(rules))
    typer.echo(f'revision {table.revision}', err=True)


@add_command(tables, 'import')
async def import_table(
    session: Session,
    sheet: SheetArgument,
    remove_absent_at: Annotated[
        int | None,
        typer.Option(
            help='Also remove rows that are not in the sheet, unless they '
            'were saved after this revision.'
        ),
    ] = None,
) -> None:
    """Save the changed rows of a sheet, all in one revision."""
    comparison = await _load_comparison(session, sheet)
    comparison.check_names()
    changes = comparison.list_changes()
    if remove_absent_at is not None:
        changes.extend(comparison.list_removals(remove_absent_at))
    if not changes:
        typer.echo('nothing to save', err=True)
        return
    revision = await save_changes(session, changes)
    typer.echo(f'saved {len(changes)} rows in revision {revision}', err=True)


@add_command(tables, 'diff')
async def diff_table(session: Session, sheet: SheetArgument) -> None:
    """Show the fields that differ between a sheet and the stored rules."""
    comparison = await _load_comparison(session, sheet)
    differences = comparison.list_differences()
    session.show(differences)
    if differences:
        raise typer.Exit(ExitCode.differs)


async def _load_comparison(session: Session, sheet: Path) -> Comparison:
    rows = parse_sheet(_read_text(sheet))
    return Comparison(await session.read_table(), rows)


def _read_text(sheet: Path) -> str:
    try:
        return sheet.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise RejectedError(
            f'{sheet}: {error}', remedy='give a readable CSV file'
        ) from error
