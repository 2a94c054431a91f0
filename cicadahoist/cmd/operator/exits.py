"""Exit codes of the operators' command line."""

from enum import IntEnum

from cicadahoist.errors import CicadahoistError


class Exit(IntEnum):
    """Exit codes; 2 is the command line library's own for wrong usage."""

    done = 0
    error = 1
    usage = 2
    config = 3
    store_unavailable = 4
    conflict = 5
    not_found = 6
    rejected = 7
    differs = 8

    @property
    def meaning(self) -> str:
        """Return what the code tells the operator."""
        return _MEANINGS[self]


class NotFoundError(CicadahoistError):
    """The table holds no such row."""

    kind = 'not-found'


class RejectedError(CicadahoistError):
    """The given row or argument is not acceptable; nothing was saved."""

    kind = 'rejected'


class InterruptedCommandError(CicadahoistError):
    """The operator interrupted the command."""

    kind = 'interrupted'


_MEANINGS = {
    Exit.done: 'The command did what was asked.',
    Exit.error: 'Another error; the message names the remedy.',
    Exit.usage: 'Unknown command, option or argument.',
    Exit.config: 'A setting is wrong; nothing was sent to the store.',
    Exit.store_unavailable: (
        'The store did not answer; a change may or may not have been saved.'
    ),
    Exit.conflict: (
        'Another operator saved the row first; nothing was saved and '
        'both rows are printed.'
    ),
    Exit.not_found: 'The table holds no such row; nothing was saved.',
    Exit.rejected: 'A row or an argument was refused; nothing was saved.',
    Exit.differs: '``table diff`` found differences.',
}

_EXITS_BY_KIND = {
    'config': Exit.config,
    'store-unavailable': Exit.store_unavailable,
    'table-conflict': Exit.conflict,
    'version-conflict': Exit.conflict,
    'not-found': Exit.not_found,
    'rejected': Exit.rejected,
}


def exit_of(error: CicadahoistError) -> Exit:
    """Return the exit code of an error."""
    return _EXITS_BY_KIND.get(error.kind, Exit.error)
