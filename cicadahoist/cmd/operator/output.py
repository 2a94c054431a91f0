"""Prints rows as aligned columns or as JSON."""

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec
import typer

COLUMN_GAP = '  '


class OutputFormat(Enum):
    """Output formats of a command."""

    table = 'table'
    json = 'json'


def print_rows(rows: Sequence[msgspec.Struct], output: OutputFormat) -> None:
    """Print rows of one type in the given format."""
    if output is OutputFormat.json:
        print_json(rows)
        return
    for line in align_columns(rows):
        typer.echo(line)


def print_json(shown: msgspec.Struct | Sequence[msgspec.Struct]) -> None:
    """Print a row, or a list of rows, as JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(shown)).decode())


def align_columns(rows: Sequence[msgspec.Struct]) -> list[str]:
    """Return a heading line and a line for each row, in aligned columns."""
    if not rows:
        return ['(none)']
    names = rows[0].__struct_fields__
    cells = [[name.upper() for name in names]]
    cells.extend(
        [format_cell(getattr(row, name)) for name in names] for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def format_cell(field: Any) -> str:
    """Return the text of a field in a column or a sheet."""
    if isinstance(field, bool):
        return 'true' if field else 'false'
    if isinstance(field, Enum):
        return str(field.value)
    return str(field)
