"""Exceptions of the package; each message names a remedy."""


class CicadahoistError(Exception):
    """
    Base class of all exceptions of this package.

    :param problem: what failed
    :param remedy: what the reader of the message can do
    """

    kind = 'error'

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class ConfigError(CicadahoistError):
    """A setting is invalid, or a name is not registered."""

    kind = 'config'


class StoreError(CicadahoistError):
    """The platform's store rejected a call; nothing was written."""

    kind = 'store'


class StoreUnavailableError(StoreError):
    """The store did not answer in time; a write may have taken effect."""

    kind = 'store-unavailable'


class StoreBusyError(StoreError):
    """The store rejected the call because of its rate limit."""

    kind = 'store-busy'


class VersionConflictError(StoreError):
    """The object has another version than a conditional write expected."""

    kind = 'version-conflict'


class HistoryGoneError(StoreError):
    """The store no longer has the changes that a watch starts from."""

    kind = 'history-gone'


class TableConflictError(CicadahoistError):
    """The row was changed by another operator in the meantime."""

    kind = 'table-conflict'


class TargetError(CicadahoistError):
    """A call to a target failed."""

    kind = 'target'


class NotSentError(TargetError):
    """The call failed before any byte of it reached the target."""

    kind = 'not-sent'


class TargetDownError(NotSentError):
    """Nothing listens at the target's address."""

    kind = 'target-down'


class LostAfterSendError(TargetError):
    """The call may have reached the target; its effect is unknown."""

    kind = 'lost-after-send'


class AnswerTooLongError(LostAfterSendError):
    """The head or the body of an answer was beyond its bound."""


class RefusedError(TargetError):
    """The target rejected the call."""

    kind = 'refused'


class BusyError(RefusedError):
    """
    The target or the platform rejected the call because it is busy.

    :param retry_after_ms: time after which a retry may succeed, 0 if unknown
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
    """An order was rejected because its fencing token is outdated."""

    kind = 'fenced'


class UsageConflictError(CicadahoistError):
    """The billing window was reported before with different figures."""

    kind = 'usage-conflict'


class WireError(CicadahoistError):
    """A message could not be decoded."""

    kind = 'wire'


class ChartError(CicadahoistError):
    """A state chart has an unknown name or is inconsistent."""

    kind = 'chart'
