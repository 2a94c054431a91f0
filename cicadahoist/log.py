"""Structured logging with loguru, as text or JSON lines."""

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

# PIPE_BUF on Linux: a write to a pipe of up to this length is atomic.
LINE_BYTES = 4096
ERROR_BYTES = 1500
# Two lines per request at the 150 requests a second that an instance can serve.
LINES_PER_S = 300
BURST_LINES = 600

# Bound fields that become fields of the JSON line itself.
CONTEXT_FIELDS = ('request', 'workspace', 'target', 'epoch')


class LogLine(msgspec.Struct, kw_only=True, omit_defaults=True):
    """
    One JSON line.

    :param fields: bound fields other than ``CONTEXT_FIELDS``
    :param error: traceback of the logged exception, empty for none
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
        """Return the line for a log record."""
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
            error=_format_trace(record),
            **common,
        )


class LineWriter:
    """
    Writes JSON lines to a pipe and never blocks on its reader.

    Lines above the rate limit, and lines for which the pipe has no room, are
    dropped and counted. The next line states the count.

    :param descriptor: file descriptor to which lines are written
    :param read_clock_s: reads a monotonic clock in seconds
    """

    __slots__ = (
        '_available_lines',
        '_descriptor',
        '_dropped_count',
        '_poll',
        '_read_clock_s',
        '_refilled_s',
    )

    def __init__(
        self,
        descriptor: int,
        read_clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._read_clock_s = read_clock_s
        self._available_lines = float(BURST_LINES)
        self._refilled_s = read_clock_s()
        self._dropped_count = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, message: 'Message') -> None:
        """Write the line of a record, or drop and count it."""
        if not self._may_write():
            self._dropped_count += 1
            return
        line = LogLine.from_record(message.record)
        if self._dropped_count:
            line.fields = {**line.fields, 'lines_dropped': self._dropped_count}
        encoded = msgspec.json.encode(line, enc_hook=str)
        if len(encoded) >= LINE_BYTES:
            line.error = line.error[-ERROR_BYTES:]
            line.message = line.message[:ERROR_BYTES]
            line.fields = {'fields_dropped': True}
            encoded = msgspec.json.encode(line, enc_hook=str)
        self._dropped_count = 0
        os.write(self._descriptor, b''.join((encoded, b'\n')))

    def _may_write(self) -> bool:
        now_s = self._read_clock_s()
        self._available_lines = min(
            BURST_LINES,
            self._available_lines + (now_s - self._refilled_s) * LINES_PER_S,
        )
        self._refilled_s = now_s
        if self._available_lines < 1:
            return False
        # A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        if not self._poll.poll(0):
            return False
        self._available_lines -= 1
        return True


def get_logger(module: str) -> 'Logger':
    """Return the logger of a module."""
    return logger.bind(module=module)


def configure_logging(log_format: str, level: str) -> None:
    """
    Log text to standard error, or JSON lines to standard output.

    :param log_format: ``text`` or ``json``
    :param level: lowest level that is logged
    """
    logger.remove()
    logger.configure(extra={'module': 'cicadahoist'})
    if log_format == 'json':
        lines = LineWriter(sys.stdout.fileno())
        logger.add(lines.write, level=level, diagnose=False)
    else:
        logger.add(
            sys.stderr, level=level, format=build_text_format, diagnose=False
        )


def build_text_format(record: 'Record') -> str:
    """
    Return the loguru format of a text line.

    The bound fields follow the message.
    """
    bound = [name for name in record['extra'] if name != 'module']
    fields = ''.join(f' {name}={{extra[{name}]}}' for name in bound)
    return f'{TEXT_FORMAT}{{message}}{fields}\n{{exception}}'


def _format_trace(record: 'Record') -> str:
    caught = record['exception']
    if caught is None:
        return ''
    return ''.join(
        format_exception(caught.type, caught.value, caught.traceback)
    )
