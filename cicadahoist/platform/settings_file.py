"""The platform's settings file: lines of the form ``a.b=value``."""

import os
from pathlib import Path

import msgspec

from cicadahoist.errors import ConfigError

PATH_VARIABLE = 'CICADAHOIST_CONFIG'
DEFAULT_PATH = '/etc/cicadahoist/boot.conf'
MS_PER_S = 1000
ZONE_PREFIX = 'zones.'


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> 'Address':
        """
        Parse ``HOST:PORT``.

        :raises ValueError: the text is no address
        """
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'{text!r} is no address')
        return cls(host, int(port))


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the platform tells an instance about itself and its bounds.

    Durations are in milliseconds.

    :param instance: name of this instance
    :param caller_address: where callers connect
    :param readiness_address: where the platform checks whether this instance
        is ready
    :param peer_ports: first and last port free between instances
    :param store_address: the platform's store
    :param order_address: the platform's interface for orders and usage reports
    :param revoke_ms: time after which a withdrawn key must not work
    :param drain_ms: time after which a leaving target gets no new work
    :param grace_ms: time from SIGTERM to SIGKILL
    :param retry_share: repeats allowed for each request
    :param retry_window_ms: span over which repeats are counted
    :param retry_slack: repeats allowed beside the share, over all instances
    :param term_ms: shortest time between two changes of a duty's holder
    :param usage_window_ms: length of a billing window
    :param usage_due_ms: latest time of a report after its window
    """

    instance: str
    zone: str
    zones: tuple[str, ...]
    host: str
    caller_address: Address
    readiness_address: Address
    peer_ports: tuple[int, int]
    store_address: Address
    order_address: Address | None
    revoke_ms: int = 5000
    drain_ms: int = 2000
    grace_ms: int = 8000
    retry_share: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 0
    term_ms: int = 3000
    usage_window_ms: int = 5000
    usage_due_ms: int = 10_000

    @classmethod
    def from_file(cls, path: str | None = None) -> 'InstanceSettings':
        """
        Read the settings of this instance.

        :param path: the file, none for the one that the platform names
        :raises ConfigError: the file lacks a field or a field is wrong
        """
        place = path or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
        try:
            text = Path(place).read_text(encoding='utf-8')
        except OSError as error:
            raise ConfigError(
                f'cannot read the settings in {place}: {error}',
                remedy=f'set {PATH_VARIABLE} to the path of the settings',
            ) from error
        return cls.from_text(text)

    @classmethod
    def from_text(cls, text: str) -> 'InstanceSettings':
        """
        Parse the settings.

        :raises ConfigError: a field is missing or wrong
        """
        fields = dict(
            line.split('=', 1) for line in text.splitlines() if '=' in line
        )
        try:
            return cls._from_fields(fields)
        except KeyError as missing:
            raise ConfigError(
                f'the settings lack {missing}',
                remedy='add the field, or run on a platform that sets it',
            ) from missing
        except ValueError as wrong:
            raise ConfigError(
                f'a setting is wrong: {wrong}',
                remedy='correct the settings file; the old ones stay in force',
            ) from wrong

    def with_bounds(self, bounds: dict[str, float]) -> 'InstanceSettings':
        """Return a copy with other bounds."""
        return msgspec.structs.replace(self, **bounds)

    @classmethod
    def _from_fields(cls, fields: dict[str, str]) -> 'InstanceSettings':
        first, _, last = fields['port-range'].partition(',')
        orders = fields.get('cloud.address', '')
        return cls(
            instance=fields['node'],
            zone=fields['zone'],
            zones=tuple(
                name.removeprefix(ZONE_PREFIX)
                for name in fields
                if name.startswith(ZONE_PREFIX)
            ),
            host=fields['ip'],
            caller_address=Address.from_text(fields['listen.front']),
            readiness_address=Address.from_text(fields['listen.ready']),
            peer_ports=(int(first), int(last)),
            store_address=Address.from_text(fields['platform.address']),
            order_address=Address.from_text(orders) if orders else None,
        ).with_bounds(_parse_bounds(fields))


def _parse_bounds(fields: dict[str, str]) -> dict[str, float]:
    """Return the bounds that the file holds, in milliseconds and numbers."""
    bounds: dict[str, float] = {}
    for field, (name, scale) in _BOUNDS_BY_FIELD.items():
        text = fields.get(f'bounds.{field}', '')
        if text:
            figure = float(text) * scale
            bounds[name] = round(figure) if name.endswith('_ms') else figure
    return bounds


# Name and unit of each bound: some fields count in seconds.
_BOUNDS_BY_FIELD = {
    'revoke-ms': ('revoke_ms', 1),
    'drain-ms': ('drain_ms', 1),
    'grace-s': ('grace_ms', MS_PER_S),
    'retry-ratio': ('retry_share', 1),
    'retry-window-s': ('retry_window_ms', MS_PER_S),
    'retry-slack': ('retry_slack', 1),
    'lease-ms': ('term_ms', 1),
    'report-window-s': ('usage_window_ms', MS_PER_S),
    'usage-late-s': ('usage_due_ms', MS_PER_S),
}
