from pathlib import Path

import pytest
from typer.testing import CliRunner

from cicadahoist.cmd.operator.app import app
from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.cmd.operator.reference import PAGES
from cicadahoist.metrics import METRICS
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.settings import SETTINGS

OPERATORS = Path(__file__).parents[2] / 'docs' / 'operators'


def read_committed_page(page):
    return (OPERATORS / f'{page}.md').read_text()


@pytest.mark.parametrize('page', list(PAGES))
def test_committed_page_is_what_the_code_declares(page):
    result = CliRunner().invoke(app, ['reference', page])
    assert result.exit_code == 0
    assert read_committed_page(page) == result.stdout, (
        f'run: cicadahoist reference {page} > docs/operators/{page}.md'
    )


def test_settings_page_names_each_setting():
    page = read_committed_page('settings')
    for option in SETTINGS:
        assert f'| {option.key} |' in page


def test_reasons_page_names_each_reason_and_metric():
    page = read_committed_page('reasons')
    for reason in (*Refusal, *Retry):
        assert f'| {reason.code} |' in page
        assert reason.operator_remedy in page
    for spec in METRICS.specs():
        assert f'`{spec.exposed_name}`' in page


def test_commands_page_names_each_exit_code():
    page = read_committed_page('commands')
    for code in ExitCode:
        assert f'| {int(code)} | {code.name} | {code.meaning} |' in page
