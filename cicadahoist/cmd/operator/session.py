"""Context of one command: settings, store and the reactor run."""

from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from cicadahoist.cmd.operator.exit_codes import InterruptedCommandError
from cicadahoist.cmd.operator.output import OutputFormat, print_rows
from cicadahoist.config import Config
from cicadahoist.errors import ConfigError
from cicadahoist.log import configure_logging
from cicadahoist.objects import ObjectStoreClient
from cicadahoist.outside.store import STORES, Store
from cicadahoist.outside.tablestore import TableStore
from cicadahoist.platform.clients import new_store_client
from cicadahoist.platform.settings_file import Address
from cicadahoist.settings import (
    LOG_FORMAT,
    LOG_LEVEL,
    SETTINGS,
    STORE_ADAPTER,
    STORE_URL,
)
from cicadahoist.table import Table

Result = TypeVar('Result')


class Session:
    """
    Settings, store and output format of one command.

    :param store: store of the platform
    :param config: validated settings
    """

    __slots__ = (
        'config',
        'open_objects',
        'output_format',
        'store',
        'table_store',
    )

    def __init__(self, store: Store, config: Config) -> None:
        self.config = config
        self.store = store
        self.table_store = TableStore(store)
        self.output_format = OutputFormat.table
        # Returns a client for the platform's store at HOST:PORT.
        self.open_objects: Callable[[str], ObjectStoreClient] = (
            open_platform_store
        )

    @classmethod
    def from_options(
        cls, config_path: Path | None, store_url: str | None
    ) -> 'Session':
        """
        Return a session with settings of a file and, if given, a store URL.

        :param config_path: INI file, defaults apply if none
        :param store_url: URL that replaces the setting of the file
        :raises ConfigError: the file contains an invalid setting
        """
        from twisted.internet import reactor  # noqa: PLC0415, WPS433

        config = Config.from_values()
        if config_path is not None:
            config = Config.from_file(config_path, SETTINGS)
        if store_url is not None:
            config = config.with_value(STORE_URL, store_url)
        configure_logging(config.read(LOG_FORMAT), config.read(LOG_LEVEL))
        adapter = STORES.get(config.read(STORE_ADAPTER))
        return cls(adapter.from_config(config, reactor), config)

    async def read_table(self) -> Table:
        """Read the table of the newest revision from the store."""
        head, _ = await self.table_store.read_head()
        return await self.table_store.load(head)

    def show(self, rows: Sequence[msgspec.Struct]) -> None:
        """Print rows in the output format of this command."""
        print_rows(rows, self.output_format)


def open_platform_store(address: str) -> ObjectStoreClient:
    """
    Return a client for the platform's store.

    :param address: ``HOST:PORT``
    :raises ConfigError: the address has another form
    """
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    try:
        parsed = Address.from_text(address)
    except ValueError as error:
        raise ConfigError(
            f"invalid address of the platform's store: {error}",
            remedy='give HOST:PORT, as in the settings of an instance',
        ) from error
    return new_store_client(parsed, reactor)


class CoroutineResult(Generic[Result]):
    """Result of a coroutine that runs in the reactor."""

    __slots__ = ('_outcome',)

    def __init__(self) -> None:
        self._outcome: list[Result | Failure] = []

    @property
    def has_ended(self) -> bool:
        """Return whether the coroutine has ended."""
        return bool(self._outcome)

    def set_outcome(self, outcome: Result | Failure) -> None:
        """Store the return value or the failure of the coroutine."""
        self._outcome.append(outcome)

    def get_result(self) -> Result:
        """
        Return the result of the coroutine or raise its error.

        :raises InterruptedCommandError: the coroutine has not ended
        """
        if not self._outcome:
            raise InterruptedCommandError(
                'interrupted; a change may or may not have been saved',
                remedy='look at the table before saving again',
            )
        outcome = self._outcome[0]
        if isinstance(outcome, Failure):
            outcome.raiseException()
        return outcome


def run_coroutine(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """
    Run a coroutine to its end and return its result.

    The reactor is started only if the coroutine has to wait, so an in-memory
    store needs no reactor.
    """
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    loop: Any = reactor
    coroutine_result: CoroutineResult[Result] = CoroutineResult()
    waiting = Deferred.fromCoroutine(coroutine)
    waiting.addBoth(coroutine_result.set_outcome)
    if not coroutine_result.has_ended:
        waiting.addBoth(lambda _: loop.stop())
        loop.run()
    return coroutine_result.get_result()
