"""Events and actions of billing windows."""

import msgspec

from cicadahoist.protocol.usage_figures import Figure


class FigureCreated(msgspec.Struct, frozen=True):
    """The store created the figure object."""


class FigureExists(msgspec.Struct, frozen=True):
    """A figure object of that name already exists."""


class CreateUnknown(msgspec.Struct, frozen=True):
    """The figure may have been created, or may still be created later."""


class FigureRead(msgspec.Struct, frozen=True):
    """
    The figure was read.

    :param payload: encoded figure, empty if the object does not exist
    """

    payload: bytes


class ReportAccepted(msgspec.Struct, frozen=True):
    """The platform has recorded the report."""


class ReportRefused(msgspec.Struct, frozen=True):
    """The platform has recorded a different report for the window."""


class ReportUnknown(msgspec.Struct, frozen=True):
    """The platform may or may not have recorded the report."""


class CreateFigure(msgspec.Struct, frozen=True):
    """
    Create an object.

    The answer is ``FigureCreated``, ``FigureExists`` or ``CreateUnknown``.
    """

    name: str
    payload: bytes


class ReadFigure(msgspec.Struct, frozen=True):
    """Read an object; the answer is ``FigureRead``, or none."""

    name: str


class ReportFigure(msgspec.Struct, frozen=True):
    """
    Report a sealed figure in the current reactor turn.

    The answer is ``ReportAccepted``, ``ReportRefused`` or ``ReportUnknown``.
    """

    figure: Figure


class RaiseAlarm(msgspec.Struct, frozen=True):
    """Alert operators that the platform has recorded a different report."""

    window: int
