"""Structured logs by loguru: text or JSON lines."""

import sys
from traceback import format_exception
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Message, Record

TIME_FORMAT = '%Y-%m-%dT%H:%M:%S.%f%z'
TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[module]} '

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


def get_logger(module: str) -> 'Logger':
    """Return the logger of a module."""
    return logger.bind(module=module)


def configure_logging(log_format: str, level: str) -> None:
    """
    Send logs to standard error.

    :param log_format: ``text`` or ``json``
    :param level: lowest level that is written
    """
    logger.remove()
    logger.configure(extra={'module': 'cicadahoist'})
    if log_format == 'json':
        logger.add(write_json_line, level=level, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=text_format, diagnose=False)


def write_json_line(message: 'Message') -> None:
    """Write a record to standard error as one line of JSON."""
    line = LogLine.from_record(message.record)
    encoded = msgspec.json.encode(line, enc_hook=str)
    sys.stderr.write(f'{encoded.decode()}\n')


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
