"""Text form of rules: fields on the command line and CSV sheets."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from cicadahoist.cmd.operator.exits import RejectedError
from cicadahoist.table import Rule

KEY_FIELDS = frozenset(('workspace', 'route'))
SETTABLE_FIELDS = tuple(
    name
    for name in Rule.__struct_fields__
    if name not in KEY_FIELDS and name != 'revision'
)
LOWEST_BY_FIELD = {'weight': 1, 'deadline_ms': 1, 'first_token_ms': 1}


def parse_fields(row: Rule, assignments: Sequence[str]) -> Rule:
    """
    Apply ``FIELD=VALUE`` texts to a row.

    :raises RejectedError: an unknown field or a wrong value
    """
    texts = {}
    for assignment in assignments:
        name, separator, text = assignment.partition('=')
        if not separator or name not in SETTABLE_FIELDS:
            raise RejectedError(
                f'{assignment!r} sets no field of a rule',
                remedy='use FIELD=VALUE with one of: {0}'.format(
                    ', '.join(SETTABLE_FIELDS)
                ),
            )
        texts[name] = text
    return rule_from_texts({**msgspec.to_builtins(row), **texts})


def rule_from_texts(texts: Mapping[str, Any]) -> Rule:
    """
    Build a rule from texts by field name.

    :raises RejectedError: a value has the wrong type or is out of range
    """
    try:
        row = msgspec.convert(texts, Rule, strict=False)
    except msgspec.ValidationError as error:
        raise RejectedError(
            f'rule {texts}: {error}', remedy='correct the value'
        ) from error
    for name in Rule.__struct_fields__:
        _check_range(name, getattr(row, name))
    return row


def _check_range(name: str, number: Any) -> None:
    lowest = LOWEST_BY_FIELD.get(name, 0)
    if isinstance(number, int) and number < lowest:
        raise RejectedError(
            f'{name} = {number}', remedy=f'give {lowest} or more'
        )
