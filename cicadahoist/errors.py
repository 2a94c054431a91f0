"""Typed errors; every message names its remedy."""


class CicadahoistError(Exception):
    """
    Base of all errors of this package.

    :param problem: what went wrong
    :param remedy: what the reader can do about it
    """

    kind = 'error'

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class ConfigError(CicadahoistError):
    """A setting or a registered name is wrong."""

    kind = 'config'


class StoreError(CicadahoistError):
    """The platform's store did not do what was asked; nothing was written."""

    kind = 'store'


class StoreUnavailableError(StoreError):
    """The store is away or slow; a write may or may not have taken effect."""

    kind = 'store-unavailable'


class StoreBusyError(StoreError):
    """The store refused the call because of its rate limit."""

    kind = 'store-busy'


class VersionConflictError(StoreError):
    """A conditional update met another version of the object."""

    kind = 'version-conflict'


class HistoryGoneError(StoreError):
    """The store no longer holds the changes that a watch asked for."""

    kind = 'history-gone'


class TableConflictError(CicadahoistError):
    """Another operator saved the same row first."""

    kind = 'table-conflict'


class TargetError(CicadahoistError):
    """A target could not be reached or broke off."""

    kind = 'target'


class NotSentError(TargetError):
    """No byte of the call reached the target."""

    kind = 'not-sent'


class TargetDownError(NotSentError):
    """Nothing listens at the target's address."""

    kind = 'target-down'


class LostAfterSendError(TargetError):
    """The call may have reached the target; what it did is unknown."""

    kind = 'lost-after-send'


class RefusedError(TargetError):
    """The target answered that it does not do what was asked."""

    kind = 'refused'


class BusyError(RefusedError):
    """
    The target or the platform refused the call for now.

    :param retry_after_ms: when coming back helps, 0 for unknown
    """

    kind = 'busy'

    def __init__(
        self, problem: str, *, remedy: str, retry_after_ms: int = 0
    ) -> None:
        super().__init__(problem, remedy=remedy)
        self.retry_after_ms = retry_after_ms


class CallerError(CicadahoistError):
    """A caller's request is malformed."""

    kind = 'caller'


class FencedError(CicadahoistError):
    """An order carried an old fencing number."""

    kind = 'fenced'


class UsageConflictError(CicadahoistError):
    """Other figures were reported for the same billing window."""

    kind = 'usage-conflict'


class WireError(CicadahoistError):
    """A message could not be decoded."""

    kind = 'wire'


class ChartError(CicadahoistError):
    """A state chart names something unknown or is inconsistent."""

    kind = 'chart'
