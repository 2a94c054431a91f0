"""Structured logs by loguru: text or JSON lines."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[module]} '
    '{message} {extra}'
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
        logger.add(sys.stderr, level=level, serialize=True, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False)
