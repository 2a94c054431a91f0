"""Compares the rules of a sheet with the stored rules."""

from collections.abc import Sequence

import msgspec

from cicadahoist.cmd.operator.exit_codes import NotFoundError
from cicadahoist.cmd.operator.output import format_cell
from cicadahoist.outside.tablestore import RowChange
from cicadahoist.table import Rule, Table

ABSENT_ROW = '(absent)'
PRESENT_ROW = '(present)'


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """
    One field that differs between a sheet and the stored table.

    :param saved_since: whether the row was saved after the sheet was
        exported, so that an import would conflict
    """

    workspace: str
    route: str
    field: str
    stored: str
    sheet: str
    saved_since: bool = False


class Comparison:
    """
    Comparison of a sheet with the stored table.

    :param table: the stored table
    :param rows: the rules of the sheet
    """

    __slots__ = ('_rows_by_pair', '_table')

    def __init__(self, table: Table, rows: Sequence[Rule]) -> None:
        self._table = table
        self._rows_by_pair = {(row.workspace, row.route): row for row in rows}

    def check_names(self) -> None:
        """
        Check that the workspaces and routes of all rows exist.

        :raises NotFoundError: a workspace or route is not in the table
        """
        for workspace, route in self._rows_by_pair:
            if workspace not in self._table.workspaces_by_name:
                raise NotFoundError(
                    f'the table holds no workspace {workspace}',
                    remedy='create it with "workspace create"',
                )
            if route not in self._table.routes_by_name:
                raise NotFoundError(
                    f'the table holds no route {route}',
                    remedy='create it with "model create" or "route create"',
                )

    def list_changes(self) -> list[RowChange]:
        """Return changes that save the new and changed rows of the sheet."""
        return [
            RowChange(row=row)
            for pair, row in self._rows_by_pair.items()
            if not _is_equal(row, self._table.rules_by_pair.get(pair))
        ]

    def list_removals(self, revision: int) -> list[RowChange]:
        """
        Return changes that remove the stored rows that the sheet lacks.

        :param revision: rows that were saved after this revision stay
        """
        return [
            RowChange(row=row, is_removal=True)
            for pair, row in self._table.rules_by_pair.items()
            if pair not in self._rows_by_pair and row.revision <= revision
        ]

    def list_differences(self) -> list[Difference]:
        """Return the fields that differ, sorted by workspace and route."""
        differences: list[Difference] = []
        pairs = {*self._rows_by_pair, *self._table.rules_by_pair}
        for pair in sorted(pairs):
            row = self._rows_by_pair.get(pair)
            stored = self._table.rules_by_pair.get(pair)
            differences.extend(_compare_rows(pair, stored, row))
        return differences


def _is_equal(row: Rule, stored: Rule | None) -> bool:
    return stored is not None and (
        msgspec.structs.replace(row, revision=stored.revision) == stored
    )


def _compare_rows(
    pair: tuple[str, str], stored: Rule | None, row: Rule | None
) -> list[Difference]:
    if stored and row:
        return _compare_fields(stored, row)
    return [
        Difference(
            workspace=pair[0],
            route=pair[1],
            field='row',
            stored=PRESENT_ROW if stored else ABSENT_ROW,
            sheet=PRESENT_ROW if row else ABSENT_ROW,
            saved_since=row is not None and row.revision > 0,
        )
    ]


def _compare_fields(stored: Rule, row: Rule) -> list[Difference]:
    names = [name for name in Rule.__struct_fields__ if name != 'revision']
    return [
        Difference(
            workspace=row.workspace,
            route=row.route,
            field=name,
            stored=format_cell(getattr(stored, name)),
            sheet=format_cell(getattr(row, name)),
            saved_since=stored.revision != row.revision,
        )
        for name in names
        if getattr(stored, name) != getattr(row, name)
    ]
