"""Registries of implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from cicadahoist.errors import ConfigError

Implementation = TypeVar('Implementation')


class Registry(Generic[Implementation]):
    """
    Maps the names that a setting accepts to implementations.

    :param kind: kind of implementation, for error messages
    """

    __slots__ = ('_by_name', '_kind')

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._by_name: dict[str, Implementation] = {}

    def register(self, name: str) -> Callable[[Implementation], Implementation]:
        """Return a decorator that registers its argument under ``name``."""

        def decorate(implementation: Implementation) -> Implementation:
            if name in self._by_name:
                raise ConfigError(
                    f'two {self._kind}s are named {name!r}',
                    remedy='rename one of them',
                )
            self._by_name[name] = implementation
            return implementation

        return decorate

    def get(self, name: str) -> Implementation:
        """
        Return the implementation registered under ``name``.

        :raises ConfigError: nothing is registered under that name
        """
        try:
            return self._by_name[name]
        except KeyError:
            raise ConfigError(
                f'unknown {self._kind} {name!r}',
                remedy='choose one of: {0}'.format(', '.join(self.names())),
            ) from None

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._by_name)

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())
