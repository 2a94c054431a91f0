"""Structured logs by loguru: text or JSON lines."""

import os
import select
import sys
import time
from collections.abc import Callable
from traceback import format_exception
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Message, Record

TIME_FORMAT = '%Y-%m-%dT%H:%M:%S.%f%z'
TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[module]} '

# PIPE_BUF on Linux: a shorter write to a pipe is whole or not at all.
LINE_BYTES = 4096
ERROR_BYTES = 1500
# Two lines for each of the 150 requests a second that an instance can serve.
LINES_PER_S = 300
BURST_LINES = 600

# Fields that a module binds with ``logger.bind`` where it knows them.
CONTEXT_FIELDS = ('request', 'workspace', 'target', 'epoch')


class LogLine(msgspec.Struct, kw_only=True, omit_defaults=True):
    """
    One JSON line.

    :param fields: what the module bound besides the common fields
    :param error: trace of the exception that was logged
    """

    time: str
    level: str
    module: str
    message: str
    request: str = ''
    workspace: str = ''
    target: str = ''
    epoch: int | str = ''
    fields: dict[str, Any] = {}
    error: str = ''

    @classmethod
    def from_record(cls, record: 'Record') -> 'LogLine':
        """Return the line of a log record."""
        bound = dict(record['extra'])
        module = bound.pop('module')
        common = {
            name: bound.pop(name) for name in CONTEXT_FIELDS if name in bound
        }
        return cls(
            time=record['time'].strftime(TIME_FORMAT),
            level=record['level'].name,
            module=module,
            message=record['message'],
            fields=bound,
            error=_trace(record),
            **common,
        )


class LineWriter:
    """
    Writes JSON lines without ever waiting for their reader.

    Lines beyond the rate, and lines that the reader has no room for, are
    dropped and counted; the count goes out with the next line.

    :param descriptor: open file to which lines are written
    :param seconds: steady clock in seconds
    """

    __slots__ = (
        '_allowance',
        '_descriptor',
        '_dropped',
        '_filled_s',
        '_poll',
        '_seconds',
    )

    def __init__(
        self, descriptor: int, seconds: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._seconds = seconds
        self._allowance = float(BURST_LINES)
        self._filled_s = seconds()
        self._dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, message: 'Message') -> None:
        """Write a record, or count it as dropped."""
        if not self._may_write():
            self._dropped += 1
            return
        line = LogLine.from_record(message.record)
        if self._dropped:
            line.fields = {**line.fields, 'lines_dropped': self._dropped}
        encoded = msgspec.json.encode(line, enc_hook=str)
        if len(encoded) >= LINE_BYTES:
            line.error = line.error[-ERROR_BYTES:]
            line.message = line.message[:ERROR_BYTES]
            line.fields = {'fields_dropped': True}
            encoded = msgspec.json.encode(line, enc_hook=str)
        self._dropped = 0
        os.write(self._descriptor, b''.join((encoded, b'\n')))

    def _may_write(self) -> bool:
        now_s = self._seconds()
        self._allowance = min(
            BURST_LINES,
            self._allowance + (now_s - self._filled_s) * LINES_PER_S,
        )
        self._filled_s = now_s
        if self._allowance < 1:
            return False
        # A pipe that can be written takes PIPE_BUF bytes without blocking.
        if not self._poll.poll(0):
            return False
        self._allowance -= 1
        return True


def get_logger(module: str) -> 'Logger':
    """Return the logger of a module."""
    return logger.bind(module=module)


def configure_logging(log_format: str, level: str) -> None:
    """
    Send text to standard error, or JSON lines to standard output.

    :param log_format: ``text`` or ``json``
    :param level: lowest level that is written
    """
    logger.remove()
    logger.configure(extra={'module': 'cicadahoist'})
    if log_format == 'json':
        lines = LineWriter(sys.stdout.fileno())
        logger.add(lines.write, level=level, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=text_format, diagnose=False)


def text_format(record: 'Record') -> str:
    """Return the format of a text line; bound fields follow the message."""
    bound = [name for name in record['extra'] if name != 'module']
    fields = ''.join(f' {name}={{extra[{name}]}}' for name in bound)
    return f'{TEXT_FORMAT}{{message}}{fields}\n{{exception}}'


def _trace(record: 'Record') -> str:
    caught = record['exception']
    if caught is None:
        return ''
    return ''.join(
        format_exception(caught.type, caught.value, caught.traceback)
    )
