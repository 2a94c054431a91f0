"""Reads the platform's settings file: lines of the form ``a.b=value``."""

import os
from pathlib import Path

import msgspec

from cicadahoist.errors import ConfigError

PATH_VARIABLE = 'CICADAHOIST_CONFIG'
DEFAULT_PATH = '/etc/cicadahoist/boot.conf'
MS_PER_S = 1000
ZONE_PREFIX = 'zones.'


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> 'Address':
        """
        Parse ``HOST:PORT``.

        :raises ValueError: the text is not an address
        """
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'{text!r} is not HOST:PORT')
        return cls(host, int(port))


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """
    Identity, addresses and bounds that the platform assigns to an instance.

    Durations are in milliseconds.

    :param instance: name of this instance
    :param caller_address: address on which callers connect
    :param readiness_address: address of the readiness probe
    :param peer_ports: first and last port for traffic between instances
    :param store_address: address of the platform's store
    :param order_address: address for orders and usage reports, none if the
        platform has no such interface
    :param revoke_ms: time by which a withdrawn key must stop working
    :param config_ms: time in which callers hear of a new configuration
    :param drain_ms: time by which a leaving target must get no new work
    :param grace_ms: time from SIGTERM to SIGKILL
    :param retry_share: retry budget as a share of the requests
    :param retry_window_ms: sliding window over which retries are counted
    :param retry_slack: retries allowed beyond the share, over all instances
    :param link_mbps: bandwidth of the instance in Mbit/s, none if not stated
    :param memory_mb: memory limit of the process, none if not stated
    :param max_descriptors: descriptor limit of the process, none if not stated
    :param core_count: processor capacity in cores, none if not stated
    :param term_ms: lease term: shortest time between two changes of a duty's
        holder
    :param usage_window_ms: length of a billing window
    :param usage_due_ms: time after the end of a window by which it must be
        reported
    :param quota_window_ms: length of the windows in which quotas hold
    :param quota_over_share: what may pass beyond a quota, as a share of it
    :param quota_slack_tokens: tokens that may pass beyond that
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
    config_ms: int = 2000
    drain_ms: int = 2000
    grace_ms: int = 8000
    retry_share: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 0
    link_mbps: float | None = None
    memory_mb: float | None = None
    max_descriptors: int | None = None
    core_count: float | None = None
    term_ms: int = 3000
    usage_window_ms: int = 5000
    usage_due_ms: int = 10_000
    quota_window_ms: int = 8000
    quota_over_share: float = 0.1
    quota_slack_tokens: float = 120_000

    @classmethod
    def from_file(cls, path: str | None = None) -> 'InstanceSettings':
        """
        Read the settings of this instance.

        :param path: path of the file, none for the path that the environment
            names, or the default
        :raises ConfigError: the file is unreadable, or a field is missing or
            invalid
        """
        settings_path = path or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
        try:
            text = Path(settings_path).read_text(encoding='utf-8')
        except OSError as error:
            raise ConfigError(
                f'cannot read the settings file {settings_path}: {error}',
                remedy=f'set {PATH_VARIABLE} to the path of the file',
            ) from error
        return cls.from_text(text)

    @classmethod
    def from_text(cls, text: str) -> 'InstanceSettings':
        """
        Parse the settings.

        :raises ConfigError: a field is missing or invalid
        """
        fields = dict(
            line.split('=', 1) for line in text.splitlines() if '=' in line
        )
        try:
            return cls._from_fields(fields)
        except KeyError as missing:
            raise ConfigError(
                f'the settings file lacks the field {missing}',
                remedy='add the field, or run on a platform that sets it',
            ) from missing
        except ValueError as wrong:
            raise ConfigError(
                f'the settings file has an invalid value: {wrong}',
                remedy='correct the file; the old settings stay in force',
            ) from wrong

    def with_bounds(self, bounds: dict[str, float]) -> 'InstanceSettings':
        """Return a copy with the given bounds replaced."""
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
            link_mbps=float(fields.get('limits.link-mbps', '') or 0) or None,
            memory_mb=float(fields.get('limits.memory-mb', '') or 0) or None,
            max_descriptors=int(fields.get('limits.max-fds', '') or 0) or None,
            core_count=_parse_core_count(fields),
        ).with_bounds(_parse_bounds(fields))


def _parse_core_count(fields: dict[str, str]) -> float | None:
    """Return the cores times the share of each, none if neither is stated."""
    cores = fields.get('limits.cores', '')
    share = fields.get('limits.cpu-share', '')
    if not cores and not share:
        return None
    return float(cores or 1) * float(share or 1)


def _parse_bounds(fields: dict[str, str]) -> dict[str, float]:
    """Return the bounds set in the file, durations in milliseconds."""
    bounds: dict[str, float] = {}
    for field, (name, scale) in _BOUNDS_BY_FIELD.items():
        text = fields.get(f'bounds.{field}', '')
        if text:
            figure = float(text) * scale
            bounds[name] = round(figure) if name.endswith('_ms') else figure
    return bounds


# Field name and scale of each bound; some are written in seconds.
_BOUNDS_BY_FIELD = {
    'revoke-ms': ('revoke_ms', 1),
    'config-ms': ('config_ms', 1),
    'drain-ms': ('drain_ms', 1),
    'grace-s': ('grace_ms', MS_PER_S),
    'retry-ratio': ('retry_share', 1),
    'retry-window-s': ('retry_window_ms', MS_PER_S),
    'retry-slack': ('retry_slack', 1),
    'lease-ms': ('term_ms', 1),
    'report-window-s': ('usage_window_ms', MS_PER_S),
    'usage-late-s': ('usage_due_ms', MS_PER_S),
    'quota-window-s': ('quota_window_ms', MS_PER_S),
    'quota-over': ('quota_over_share', 1),
    'quota-slack': ('quota_slack_tokens', 1),
}
