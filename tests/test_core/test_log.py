import json

import pytest
from loguru import logger

from cicadahoist.log import configure_logging, get_logger


@pytest.fixture(autouse=True)
def restored():
    yield
    logger.remove()


def test_json_lines_carry_context_and_fields(capsys):
    configure_logging('json', 'INFO')
    log = get_logger('cicadahoist.entry')
    log.bind(request='r1', target='e1', epoch=7, reason='x').info('sent {0}', 1)
    log.debug('not written')
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    line = json.loads(lines[0])
    assert line.pop('time')
    assert line == {
        'level': 'INFO',
        'module': 'cicadahoist.entry',
        'message': 'sent 1',
        'request': 'r1',
        'target': 'e1',
        'epoch': 7,
        'fields': {'reason': 'x'},
    }


def test_text_lines_show_only_bound_fields(capsys):
    configure_logging('text', 'INFO')
    get_logger('here').bind(workspace='{tayside}').warning('a {brace}')
    line = capsys.readouterr().err
    assert 'WARNING here a {brace} workspace={tayside}' in line
    assert 'request' not in line


@pytest.mark.parametrize('log_format', ['text', 'json'])
def test_error_is_logged_without_values_of_variables(capsys, log_format):
    configure_logging(log_format, 'INFO')
    secret = 'key-of-clerk'
    try:
        raise ValueError(len(secret))
    except ValueError:
        get_logger('here').exception('failed')
    written = capsys.readouterr().err
    assert 'ValueError' in written
    assert 'key-of-clerk' not in written
    if log_format == 'json':
        assert len(written.splitlines()) == 1
