"""Text form of rows: fields on the command line and CSV sheets."""

from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

import msgspec

from cicadahoist.cmd.operator.exits import RejectedError
from cicadahoist.table import Rule, Target

Settable = TypeVar('Settable', Rule, Target)

FIXED_FIELDS = frozenset(('workspace', 'route', 'name', 'revision'))
LOWEST_BY_FIELD = {'weight': 1, 'deadline_ms': 1, 'first_token_ms': 1}


def with_fields(row: Settable, assignments: Sequence[str]) -> Settable:
    """
    Apply ``FIELD=VALUE`` texts to a row.

    :raises RejectedError: an unknown field or a wrong value
    """
    settable = settable_fields(type(row))
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
    return row_from_texts({**msgspec.to_builtins(row), **texts}, type(row))


def settable_fields(kind: type[Rule | Target]) -> list[str]:
    """Return the fields of a row that an operator may change."""
    return [name for name in kind.__struct_fields__ if name not in FIXED_FIELDS]


def row_from_texts(texts: Mapping[str, Any], kind: type[Settable]) -> Settable:
    """
    Build a row from texts by field name.

    :raises RejectedError: a value has the wrong type or is out of range
    """
    try:
        row = msgspec.convert(texts, kind, strict=False)
    except msgspec.ValidationError as error:
        raise RejectedError(
            f'{kind.__name__} {texts}: {error}', remedy='correct the value'
        ) from error
    for name in kind.__struct_fields__:
        _check_range(name, getattr(row, name))
    return row


def _check_range(name: str, number: Any) -> None:
    lowest = LOWEST_BY_FIELD.get(name, 0)
    if isinstance(number, int) and number < lowest:
        raise RejectedError(
            f'{name} = {number}', remedy=f'give {lowest} or more'
        )
