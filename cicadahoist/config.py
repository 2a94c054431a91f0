"""Settings from INI files: declared options and validated values."""

import math
import re
from collections.abc import Callable, Iterator
from configparser import ConfigParser
from configparser import Error as ParserError
from itertools import groupby
from pathlib import Path
from typing import Any, Generic, TypeVar

from cicadahoist.errors import ConfigError

Setting = TypeVar('Setting', str, int, float, bool)

# Disables the parser's [DEFAULT] section, which no program uses.
_NO_DEFAULT_SECTION = ''

_NAME = re.compile(r'[\w.-]+')

_BOOLEANS = {'yes': True, 'true': True, 'no': False, 'false': False}


class Option(Generic[Setting]):
    """
    Declaration of one setting.

    :param section: section of the INI file
    :param key: key within the section
    :param default: value if the file gives none; its type is that of the
        setting
    :param unit: unit of the value, empty for none
    :param lowest: smallest allowed number
    :param highest: largest allowed number
    :param choices: allowed texts, empty for any
    :param summary: help text
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
            raise ValueError(text)
        if isinstance(parsed, (int, float)):
            if not self.lowest <= parsed <= self.highest:
                raise ValueError(text)
        return parsed

    @property
    def accepted(self) -> str:
        """Description of the accepted values, for help and errors."""
        if self.choices:
            return 'one of {0}'.format(', '.join(self.choices))
        words = [_TYPE_WORDS[type(self.default)]]
        if self.lowest > -math.inf:
            words.append(f'from {self.lowest}')
        if self.highest < math.inf:
            words.append(f'to {self.highest}')
        return ' '.join(words)

    @property
    def default_text(self) -> str:
        """Default value as written in an INI file."""
        if isinstance(self.default, bool):
            return 'yes' if self.default else 'no'
        return str(self.default)


class NameOption(Option[str]):
    """
    Setting that becomes part of object names.

    Object names are separated by slashes, so that the value has none and is
    not empty.
    """

    __slots__ = ()

    def parse(self, text: str) -> str:
        """
        Return the text.

        :raises ValueError: the text is empty or has a character that names of
            objects may not have
        """
        if not _NAME.fullmatch(text):
            raise ValueError(text)
        return text

    @property
    def accepted(self) -> str:
        """Description of the accepted values, for help and errors."""
        return 'letters, digits, "_", "." and "-"'


class Config:
    """
    Validated settings of one process.

    :param by_option: values given by the file, by section and key
    """

    __slots__ = ('_by_option',)

    def __init__(self, by_option: dict[tuple[str, str], Any]) -> None:
        self._by_option = by_option

    @classmethod
    def from_file(cls, path: Path, options: 'OptionSet') -> 'Config':
        """
        Read and validate a file.

        :raises ConfigError: the file is unreadable, or has an unknown setting
            or an invalid value; the message names file, section, key and remedy
        """
        parser = ConfigParser(
            interpolation=None, default_section=_NO_DEFAULT_SECTION
        )
        try:
            parser.read_string(path.read_text(), source=str(path))
        except (OSError, UnicodeDecodeError, ParserError) as error:
            raise ConfigError(
                f'{path}: {error}', remedy='give a readable INI file'
            ) from error
        by_option = {}
        for section in parser.sections():
            for key, text in parser.items(section):
                by_option[section, key] = _parse_option(
                    path, options.find(path, section, key), text
                )
        config = cls(by_option)
        options.check_orders(path, config)
        return config

    @classmethod
    def from_values(cls, **by_name: Any) -> 'Config':
        """Return settings from keyword arguments named ``section__key``."""
        pairs = {}
        for name, given in by_name.items():
            section, _, key = name.partition('__')
            pairs[section, key] = given
        return cls(pairs)

    def with_value(self, option: Option[Setting], given: Setting) -> 'Config':
        """Return a copy of the settings with another value of one option."""
        by_option = {**self._by_option, (option.section, option.key): given}
        return Config(by_option)

    def read(self, option: Option[Setting]) -> Setting:
        """Return the value of an option, its default if none was given."""
        return self._by_option.get((option.section, option.key), option.default)


class OrderConstraint:
    """Constraint that the value of one setting is less than another's."""

    __slots__ = ('larger', 'smaller')

    def __init__(self, smaller: Option[Any], larger: Option[Any]) -> None:
        self.smaller = smaller
        self.larger = larger


class OptionSet:
    """Declared options and the constraints between them."""

    __slots__ = ('_by_key', '_order_constraints')

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], Option[Any]] = {}
        self._order_constraints: list[OrderConstraint] = []

    def declare(self, option: Option[Setting]) -> Option[Setting]:
        """Add an option and return it."""
        self._by_key[option.section, option.key] = option
        return option

    def find(self, path: Path, section: str, key: str) -> Option[Any]:
        """
        Return a declared option.

        :param path: file that names the option, for the error message
        :raises ConfigError: no such option is declared
        """
        option = self._by_key.get((section, key))
        if option is None:
            raise ConfigError(
                f'{path}: [{section}] {key}: unknown setting',
                remedy='see --print-defaults for all settings',
            )
        return option

    def declare_order(
        self, smaller: Option[Setting], larger: Option[Setting]
    ) -> None:
        """Require that the value of one setting is less than another's."""
        self._order_constraints.append(OrderConstraint(smaller, larger))

    def check_orders(self, path: Path, config: Config) -> None:
        """
        Check the constraints declared by :meth:`declare_order`.

        :raises ConfigError: a constraint is violated
        """
        for constraint in self._order_constraints:
            smaller = constraint.smaller
            larger = constraint.larger
            if config.read(smaller) >= config.read(larger):
                raise ConfigError(
                    f'{path}: [{smaller.section}] {smaller.key} = '
                    f'{config.read(smaller)}',
                    remedy=f'give less than [{larger.section}] {larger.key}, '
                    f'which is {config.read(larger)}',
                )

    def __iter__(self) -> Iterator[Option[Any]]:
        return iter(self._by_key.values())


def render_defaults(options: OptionSet) -> str:
    """Return the text of an INI file with the default of every setting."""
    lines = []
    ordered = sorted(options, key=_section_of)
    for section, declared in groupby(ordered, _section_of):
        lines.append(f'[{section}]')
        for option in declared:
            unit = f', in {option.unit}' if option.unit else ''
            lines.append(f'# {option.summary} ({option.accepted}{unit})')
            lines.append(f'{option.key} = {option.default_text}'.rstrip())
        lines.append('')
    return '\n'.join(lines)


def _section_of(option: Option[Any]) -> str:
    return option.section


def _parse_option(path: Path, option: Option[Any], text: str) -> Any:
    try:
        return option.parse(text)
    except ValueError as error:
        raise ConfigError(
            f'{path}: [{option.section}] {option.key} = {text}',
            remedy=f'expected {option.accepted}',
        ) from error


def _parse_boolean(text: str) -> bool:
    try:
        return _BOOLEANS[text.lower()]
    except KeyError:
        raise ValueError('yes or no') from None


_TYPE_WORDS = {
    str: 'text',
    int: 'whole number',
    float: 'number',
    bool: 'yes or no',
}

_PARSERS: dict[type, Callable[[str], Any]] = {
    str: str,
    int: int,
    float: float,
    bool: _parse_boolean,
}
