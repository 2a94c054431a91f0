import json
import os

import pytest
from loguru import logger

from cicadahoist.log import (
    BURST_LINES,
    LINE_BYTES,
    LINES_PER_S,
    LineWriter,
    configure_logging,
    get_logger,
)


@pytest.fixture(autouse=True)
def remove_log_handlers():
    yield
    logger.remove()


def test_json_lines_carry_context_and_fields(capfd):
    configure_logging('json', 'INFO')
    log = get_logger('cicadahoist.entry')
    log.bind(request='r1', target='e1', epoch=7, reason='x').info('sent {0}', 1)
    log.debug('not written')
    lines = capfd.readouterr().out.splitlines()
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
def test_error_is_logged_without_values_of_variables(capfd, log_format):
    """Guard against secrets in logs: tracebacks of loguru can show values."""
    configure_logging(log_format, 'INFO')
    secret = 'key-of-clerk'
    try:
        raise ValueError(len(secret))
    except ValueError:
        get_logger('here').exception('failed')
    written = ''.join(capfd.readouterr())
    assert 'ValueError' in written
    assert 'key-of-clerk' not in written
    if log_format == 'json':
        assert len(written.splitlines()) == 1


class Pipe:
    """A pipe to which log lines are written, with a manual clock."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        self.now_s = 0
        writer = LineWriter(self.write_end, lambda: self.now_s)
        logger.remove()
        logger.configure(extra={'module': 'here'})
        logger.add(writer.write, level='INFO', diagnose=False)

    def close(self):
        os.close(self.read_end)
        os.close(self.write_end)

    def read_lines(self):
        received = os.read(self.read_end, 1 << 20)
        return [json.loads(line) for line in received.splitlines()]


@pytest.fixture
def pipe():
    pipe = Pipe()
    yield pipe
    pipe.close()


def test_a_reader_that_stops_never_blocks_the_process(pipe):
    """Guard against a process that blocks on a full pipe when it logs."""
    for _ in range(BURST_LINES - 1):
        logger.bind(filler='x' * 1000).info('a line')
    assert 0 < len(pipe.read_lines()) < BURST_LINES - 1
    logger.info('after')
    assert pipe.read_lines()[-1]['fields']['lines_dropped'] > 0


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe):
    for _ in range(BURST_LINES + 50):
        logger.info('x')
    assert len(pipe.read_lines()) == BURST_LINES
    pipe.now_s += 1
    for _ in range(LINES_PER_S + 50):
        logger.info('y')
    lines = pipe.read_lines()
    assert len(lines) == LINES_PER_S
    assert lines[0]['fields']['lines_dropped'] == 50


def test_a_line_is_never_longer_than_an_atomic_pipe_write(pipe):
    """Guard against a long line that blocks although the pipe is writable."""
    logger.bind(value='x' * 9000).info('long {0}', 'y' * 9000)
    received = os.read(pipe.read_end, 1 << 20)
    assert len(received) <= LINE_BYTES
    assert json.loads(received)['message'].startswith('long')
