"""Settings in INI files: declared options, checked values."""

import math
from collections.abc import Callable, Iterator
from configparser import ConfigParser
from configparser import Error as ParserError
from pathlib import Path
from typing import Any, Generic, TypeVar

from cicadahoist.errors import ConfigError

Setting = TypeVar('Setting', str, int, float, bool)

_BOOLEANS = {'yes': True, 'true': True, 'no': False, 'false': False}


class Option(Generic[Setting]):
    """
    One declared setting.

    :param section: section of the INI file
    :param key: key within the section
    :param default: value where the file has none; also gives the type
    :param unit: unit of the value, empty for none
    :param lowest: smallest number allowed
    :param highest: largest number allowed
    :param choices: the only texts allowed, where given
    :param summary: what the setting does
    """

    __slots__ = (
        'choices',
        'default',
        'highest',
        'key',
        'lowest',
        'section',
        'summary',
        'unit',
    )

    def __init__(
        self,
        section: str,
        key: str,
        default: Setting,
        *,
        summary: str,
        unit: str = '',
        lowest: float = -math.inf,
        highest: float = math.inf,
        choices: tuple[str, ...] = (),
    ) -> None:
        self.section = section
        self.key = key
        self.default: Setting = default
        self.summary = summary
        self.unit = unit
        self.lowest = lowest
        self.highest = highest
        self.choices = choices

    def parse(self, text: str) -> Setting:
        """
        Convert the text of a file to the option's type.

        :raises ValueError: the text has another type or is out of range
        """
        parsed = _PARSERS[type(self.default)](text)
        if self.choices and parsed not in self.choices:
            raise ValueError('one of {0}'.format(', '.join(self.choices)))
        if isinstance(parsed, (int, float)):
            if not self.lowest <= parsed <= self.highest:
                raise ValueError(f'{self.lowest} to {self.highest}')
        return parsed


class Config:
    """
    Checked settings of one process.

    :param by_option: values that a file gives, by section and key
    """

    __slots__ = ('_by_option',)

    def __init__(self, by_option: dict[tuple[str, str], Any]) -> None:
        self._by_option = by_option

    @classmethod
    def from_file(cls, path: Path, options: 'OptionSet') -> 'Config':
        """
        Read and check a file.

        :raises ConfigError: the file is unreadable, or holds an unknown or
            wrong setting; the message names file, section, key and remedy
        """
        parser = ConfigParser(interpolation=None)
        try:
            parser.read_string(path.read_text(), source=str(path))
        except (OSError, ParserError) as error:
            raise ConfigError(
                f'{path}: {error}', remedy='give a readable INI file'
            ) from error
        by_option = {}
        for section in parser.sections():
            for key, text in parser.items(section):
                by_option[section, key] = _checked(
                    path, options.find(path, section, key), text
                )
        return cls(by_option)

    @classmethod
    def from_values(cls, **by_name: Any) -> 'Config':
        """Return settings from ``section__key`` arguments."""
        pairs = {}
        for name, given in by_name.items():
            section, _, key = name.partition('__')
            pairs[section, key] = given
        return cls(pairs)

    def replaced(self, option: Option[Setting], given: Setting) -> 'Config':
        """Return settings with another value for one option."""
        by_option = {**self._by_option, (option.section, option.key): given}
        return Config(by_option)

    def read(self, option: Option[Setting]) -> Setting:
        """Return the value of an option, or its default."""
        return self._by_option.get((option.section, option.key), option.default)


class OptionSet:
    """All options that a file may hold."""

    __slots__ = ('_by_key',)

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], Option[Any]] = {}

    def declare(self, option: Option[Setting]) -> Option[Setting]:
        """Add an option and return it."""
        self._by_key[option.section, option.key] = option
        return option

    def find(self, path: Path, section: str, key: str) -> Option[Any]:
        """
        Return a declared option.

        :raises ConfigError: no such option is declared
        """
        option = self._by_key.get((section, key))
        if option is None:
            raise ConfigError(
                f'{path}: [{section}] {key}: unknown setting',
                remedy='see --print-defaults for all settings',
            )
        return option

    def __iter__(self) -> Iterator[Option[Any]]:
        return iter(self._by_key.values())


def _checked(path: Path, option: Option[Any], text: str) -> Any:
    try:
        return option.parse(text)
    except ValueError as error:
        raise ConfigError(
            f'{path}: [{option.section}] {option.key} = {text}',
            remedy=f'expected {type(option.default).__name__}, {error}',
        ) from error


def _parse_boolean(text: str) -> bool:
    try:
        return _BOOLEANS[text.lower()]
    except KeyError:
        raise ValueError('yes or no') from None


_PARSERS: dict[type, Callable[[str], Any]] = {
    str: str,
    int: int,
    float: float,
    bool: _parse_boolean,
}
