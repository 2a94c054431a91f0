"""Applies changed settings while the process runs."""

from collections.abc import Callable
from typing import Generic, TypeVar

from cicadahoist.clock import Clock, Timer
from cicadahoist.errors import ConfigError
from cicadahoist.log import get_logger

logger = get_logger(__name__)

# Period of reading the settings, as they may change without a signal.
CHECK_PERIOD_MS = 2000

Settings = TypeVar('Settings')


class SettingsWatch(Generic[Settings]):
    """
    Reads the settings again, on a signal and periodically.

    :param read: reads the settings; may raise :exc:`ConfigError`
    :param current: settings in force
    :param apply: applies changed settings
    """

    __slots__ = (
        '_apply',
        '_clock',
        '_is_invalid',
        '_read',
        '_timer',
        'current',
    )

    def __init__(
        self,
        read: Callable[[], Settings],
        current: Settings,
        apply: Callable[[Settings], None],
        clock: Clock,
    ) -> None:
        self._read = read
        self._apply = apply
        self._clock = clock
        self._timer: Timer | None = None
        self._is_invalid = False
        self.current = current

    async def start(self) -> None:
        """Begin to check for changes."""
        self._timer = self._clock.call_later(CHECK_PERIOD_MS, self._check)

    async def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def reload(self) -> None:
        """Apply the settings if they are valid and have changed."""
        try:
            settings = self._read()
        except ConfigError as error:
            if not self._is_invalid:
                logger.error(
                    'invalid settings; the old settings stay in force: {0}',
                    error,
                )
            self._is_invalid = True
            return
        self._is_invalid = False
        if settings == self.current:
            return
        self.current = settings
        self._apply(settings)
        logger.info('settings changed')

    def _check(self) -> None:
        self.reload()
        self._timer = self._clock.call_later(CHECK_PERIOD_MS, self._check)
