"""The table revision in force, which only increases."""

from typing import Any

import msgspec

from cicadahoist.protocol.machine import ChartCore, ChartKit, Guard, Output
from cicadahoist.registry import Registry

RETRY_MS = 500

GUARDS: Registry[Guard] = Registry('guard of the revision chart')
OUTPUTS: Registry[Output] = Registry('output of the revision chart')


class RevisionOffered(msgspec.Struct, frozen=True):
    """
    The store or a peer offers a revision.

    :param source: name of the peer, empty for the store
    """

    revision: int
    source: str = ''


class TableLoaded(msgspec.Struct, frozen=True):
    """The table of a revision is completely loaded into memory."""

    revision: int


class LoadFailed(msgspec.Struct, frozen=True):
    """A revision could not be loaded."""


class LoadTable(msgspec.Struct, frozen=True):
    """
    Load a revision; the answer is ``TableLoaded`` or ``LoadFailed``.

    :param revision: lowest revision to load
    :param source: name of the peer that offered it, empty for the store
    """

    revision: int
    source: str


class ApplyTable(msgspec.Struct, frozen=True):
    """Replace the table in force by the loaded one."""

    revision: int


class TableRevision(ChartCore):
    """
    Decides which revisions are loaded and put in force.

    :param kit: chart and functions to run
    """

    __slots__ = ('in_force', 'in_force_since_ms', 'load_started_ms', 'wanted')

    def __init__(self, kit: ChartKit | None = None) -> None:
        super().__init__(kit or REVISION_KIT)
        self.in_force = 0
        self.in_force_since_ms = 0
        self.load_started_ms = 0
        self.wanted = RevisionOffered(0)

    @property
    def is_ready(self) -> bool:
        """Whether any revision is in force."""
        return self.in_force > 0


@GUARDS.register('newer_than_in_force')
def _newer_than_in_force(table: TableRevision, event: Any, now_ms: int) -> bool:
    return event.revision > table.in_force


@GUARDS.register('newer_than_wanted')
def _newer_than_wanted(table: TableRevision, event: Any, now_ms: int) -> bool:
    return event.revision > table.wanted.revision


@GUARDS.register('wanted_met')
def _wanted_met(table: TableRevision, event: Any, now_ms: int) -> bool:
    return event.revision >= table.wanted.revision


@GUARDS.register('retry_due')
def _retry_due(table: TableRevision, event: Any, now_ms: int) -> bool:
    return now_ms - table.load_started_ms >= RETRY_MS


@OUTPUTS.register('note_wanted')
def _note_wanted(
    table: TableRevision, event: RevisionOffered, now_ms: int
) -> None:
    table.wanted = event


@OUTPUTS.register('load')
def _load(table: TableRevision, event: Any, now_ms: int) -> None:
    table.load_started_ms = now_ms
    wanted = table.wanted
    table.actions.append(LoadTable(wanted.revision, wanted.source))


@OUTPUTS.register('apply')
def _apply(table: TableRevision, event: TableLoaded, now_ms: int) -> None:
    table.in_force = event.revision
    table.in_force_since_ms = now_ms
    table.actions.append(ApplyTable(event.revision))


REVISION_KIT = ChartKit.load('revision', GUARDS, OUTPUTS)
