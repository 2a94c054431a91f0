"""Generates the reference pages from declarations in the code."""

from itertools import groupby
from typing import Annotated, Any

import typer

from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.config import Option
from cicadahoist.metrics import METRICS, MetricSpec
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.registry import Registry
from cicadahoist.settings import SETTINGS

PAGES: Registry[Any] = Registry('reference page')

NOTICE = (
    'This page is made from the code by '
    '`cicadahoist reference {0}`; do not edit it.'
)


def print_reference(
    context: typer.Context,
    page: Annotated[str, typer.Argument(help='settings, reasons or commands.')],
) -> None:
    """Print a reference page in Markdown."""
    lines = PAGES.get(page)(context.find_root().command)
    typer.echo('\n'.join(lines))


@PAGES.register('settings')
def settings_page(root: Any) -> list[str]:
    """Return the lines of the page of settings."""
    lines = ['# Settings', '', NOTICE.format('settings')]
    ordered = sorted(SETTINGS, key=_get_section)
    for section, options in groupby(ordered, _get_section):
        lines.extend(['', f'## [{section}]', ''])
        lines.extend(
            _format_heading('key', 'default', 'unit', 'accepted', 'meaning')
        )
        lines.extend(map(_format_option, options))
    return lines


@PAGES.register('reasons')
def reasons_page(root: Any) -> list[str]:
    """Return the lines of the page of refusals, retries and metrics."""
    lines = ['# Refusals, retries and metrics', '', NOTICE.format('reasons')]
    lines.extend(['', '## Refusals', ''])
    lines.extend(
        _format_heading(
            'code', 'status', 'outcome', 'for the caller', 'for operators'
        )
    )
    lines.extend(map(_format_refusal, Refusal))
    lines.extend(['', '## Retries', ''])
    lines.extend(_format_heading('code', 'meaning', 'for operators'))
    lines.extend(map(_format_retry, Retry))
    lines.extend(['', '## Metrics', ''])
    lines.extend(_format_heading('metric', 'meaning', 'when it rises'))
    lines.extend(map(_format_metric, METRICS.specs()))
    return lines


@PAGES.register('commands')
def commands_page(root: Any) -> list[str]:
    """Return the lines of the page of commands and exit codes."""
    lines = ['# Commands', '', NOTICE.format('commands')]
    lines.extend(['', '## Options before the command', ''])
    lines.extend(_format_parameters(root))
    for name, group in root.commands.items():
        lines.extend(['', f'## {name}', '', group.help])
        for subcommand_name, subcommand in getattr(
            group, 'commands', {}
        ).items():
            lines.extend(
                ['', f'### {name} {subcommand_name}', '', subcommand.help, '']
            )
            lines.extend(_format_parameters(subcommand))
    lines.extend(['', '## Exit codes', ''])
    lines.extend(_format_heading('code', 'name', 'meaning'))
    lines.extend(
        _format_row(str(int(code)), code.name, code.meaning)
        for code in ExitCode
    )
    return lines


def _get_section(option: Option[Any]) -> str:
    return option.section


def _format_option(option: Option[Any]) -> str:
    default = f'`{option.default_text}`' if option.default_text else 'empty'
    return _format_row(
        option.key, default, option.unit, option.accepted, option.summary
    )


def _format_refusal(reason: Refusal) -> str:
    return _format_row(
        reason.code,
        str(reason.status),
        reason.outcome.value,
        reason.remedy,
        reason.operator_remedy,
    )


def _format_retry(reason: Retry) -> str:
    return _format_row(reason.code, reason.meaning, reason.operator_remedy)


def _format_metric(spec: MetricSpec) -> str:
    return _format_row(
        f'`{spec.exposed_name}`', spec.description, spec.operator_remedy
    )


def _format_parameters(command: Any) -> list[str]:
    lines = []
    for parameter in command.params:
        names = ', '.join(f'`{name}`' for name in parameter.opts)
        summary = getattr(parameter, 'help', '') or ''
        required = ' Required.' if parameter.required else ''
        lines.append(f'- {names}: {summary}{required}')
    return lines


def _format_heading(*cells: str) -> list[str]:
    return [_format_row(*cells), _format_row(*('---' for _ in cells))]


def _format_row(*cells: str) -> str:
    texts = (cell.replace('|', r'\|') for cell in cells)
    return '| {0} |'.format(' | '.join(texts))
