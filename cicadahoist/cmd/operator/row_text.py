"""Parses rows from ``FIELD=VALUE`` arguments and CSV; writes CSV sheets."""

import csv
import io
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, TypeVar

import msgspec

from cicadahoist.cmd.operator.exit_codes import RejectedError
from cicadahoist.cmd.operator.output import format_cell
from cicadahoist.table import Rule, Target

SettableRow = TypeVar('SettableRow', Rule, Target)

FIXED_FIELDS = frozenset(('workspace', 'route', 'name', 'revision'))
MIN_VALUE_BY_FIELD = {'weight': 1, 'deadline_ms': 1, 'first_token_ms': 1}


def apply_assignments(
    row: SettableRow, assignments: Sequence[str]
) -> SettableRow:
    """
    Return a row with ``FIELD=VALUE`` assignments applied.

    :raises RejectedError: a field is unknown or a value is invalid
    """
    settable = list_settable_fields(type(row))
    texts = {}
    for assignment in assignments:
        name, separator, text = assignment.partition('=')
        if not separator or name not in settable:
            raise RejectedError(
                f'{assignment!r} sets no field of this row',
                remedy='use FIELD=VALUE with one of: {0}'.format(
                    ', '.join(settable)
                ),
            )
        texts[name] = text
    return build_row({**msgspec.to_builtins(row), **texts}, type(row))


def list_settable_fields(row_type: type[Rule | Target]) -> list[str]:
    """Return the names of the fields that an operator may change."""
    return [
        name for name in row_type.__struct_fields__ if name not in FIXED_FIELDS
    ]


def build_row(
    texts: Mapping[str, Any], row_type: type[SettableRow]
) -> SettableRow:
    """
    Build a row from the texts of its fields.

    :param texts: texts or values by field name
    :param row_type: type of the row
    :return: row with converted values
    :raises RejectedError: a value has the wrong type or is out of range
    """
    try:
        row = msgspec.convert(texts, row_type, strict=False)
    except msgspec.ValidationError as error:
        raise RejectedError(
            f'{row_type.__name__} {texts}: {error}', remedy='correct the value'
        ) from error
    for name in row_type.__struct_fields__:
        _check_range(name, getattr(row, name))
    return row


def _check_range(name: str, value: Any) -> None:
    min_value = MIN_VALUE_BY_FIELD.get(name, 0)
    if isinstance(value, int) and value < min_value:
        raise RejectedError(
            f'{name} = {value}', remedy=f'give {min_value} or more'
        )


def format_sheet(rows: Iterable[Rule]) -> str:
    """Return rules as CSV text with one column for each field."""
    sheet = io.StringIO()
    writer = csv.writer(sheet, lineterminator='\n')
    writer.writerow(Rule.__struct_fields__)
    for row in rows:
        writer.writerow(
            format_cell(getattr(row, name)) for name in Rule.__struct_fields__
        )
    return sheet.getvalue()


def parse_sheet(text: str) -> list[Rule]:
    """
    Parse rules from CSV text; an empty cell means the default.

    :raises RejectedError: a column is unknown or missing, a cell is invalid,
        or two rows have the same workspace and route
    """
    reader = csv.DictReader(io.StringIO(text), strict=True)
    _check_columns(reader.fieldnames or ())
    by_pair: dict[tuple[str, str], Rule] = {}
    try:
        for cells in reader:
            row = _parse_rule(cells, reader.line_num)
            _check_unique(row, by_pair, reader.line_num)
            by_pair[row.workspace, row.route] = row
    except csv.Error as error:
        raise RejectedError(
            f'line {reader.line_num}: {error}', remedy='give a CSV file'
        ) from error
    return list(by_pair.values())


def _check_columns(names: Sequence[str]) -> None:
    unknown = set(names).difference(Rule.__struct_fields__)
    missing = {'workspace', 'route', 'revision'}.difference(names)
    if unknown or missing:
        raise RejectedError(
            'unknown columns: {0}; missing columns: {1}'.format(
                ', '.join(sorted(unknown)) or 'none',
                ', '.join(sorted(missing)) or 'none',
            ),
            remedy='start from a sheet that "table export" wrote',
        )


def _parse_rule(cells: dict[str, Any], line: int) -> Rule:
    if None in cells or None in cells.values():
        raise RejectedError(
            f'line {line} has more or fewer cells than the heading',
            remedy='give one cell for each column',
        )
    texts = {name: text for name, text in cells.items() if text.strip()}
    try:
        return build_row(texts, Rule)
    except RejectedError as error:
        raise RejectedError(
            f'line {line}: {error.problem}', remedy=error.remedy
        ) from None


def _check_unique(
    row: Rule, by_pair: Mapping[tuple[str, str], Rule], line: int
) -> None:
    if (row.workspace, row.route) in by_pair:
        raise RejectedError(
            f'line {line}: a second row for {row.workspace} on {row.route}',
            remedy='keep one of the two',
        )
