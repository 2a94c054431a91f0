"""Events and actions of billing windows."""

import msgspec

from cicadahoist.protocol.usage_figures import Figure


class FigureCreated(msgspec.Struct, frozen=True):
    """The store created the figure."""


class FigureExists(msgspec.Struct, frozen=True):
    """The store holds a figure of that name."""


class CreateUnknown(msgspec.Struct, frozen=True):
    """The figure may be created, now or later."""


class FigureRead(msgspec.Struct, frozen=True):
    """
    The figure was read.

    :param payload: stored form, empty where it does not exist
    """

    payload: bytes


class ReportAccepted(msgspec.Struct, frozen=True):
    """The platform holds the report."""


class ReportRefused(msgspec.Struct, frozen=True):
    """The platform holds other figures for the window."""


class ReportUnknown(msgspec.Struct, frozen=True):
    """The platform may or may not hold the report."""


class CreateFigure(msgspec.Struct, frozen=True):
    """
    Create an object.

    Answer by ``FigureCreated``, ``FigureExists`` or ``CreateUnknown``.
    """

    name: str
    payload: bytes


class ReadFigure(msgspec.Struct, frozen=True):
    """Read an object; answer by ``FigureRead``, or not at all."""

    name: str


class ReportFigure(msgspec.Struct, frozen=True):
    """
    Report a sealed figure in this turn of the reactor.

    Answer by ``ReportAccepted``, ``ReportRefused`` or ``ReportUnknown``.
    """

    figure: Figure


class RaiseAlarm(msgspec.Struct, frozen=True):
    """Tell operators that the platform holds other figures."""

    window: int
