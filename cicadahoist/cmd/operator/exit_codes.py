"""Exit codes and errors of the operators' command line."""

from enum import IntEnum

from cicadahoist.errors import CicadahoistError


class ExitCode(IntEnum):
    """Exit codes; typer itself uses 2 for wrong usage."""

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
        """Description of the code for operators."""
        return _MEANING_BY_CODE[self]


class NotFoundError(CicadahoistError):
    """A row does not exist in the table."""

    kind = 'not-found'


class RejectedError(CicadahoistError):
    """A row or an argument is invalid; nothing was saved."""

    kind = 'rejected'


class InterruptedCommandError(CicadahoistError):
    """The operator interrupted a command before it ended."""

    kind = 'interrupted'


_MEANING_BY_CODE = {
    ExitCode.done: 'The command did what was asked.',
    ExitCode.error: 'Another error; the message names the remedy.',
    ExitCode.usage: 'Unknown command, option or argument.',
    ExitCode.config: 'A setting is wrong; nothing was sent to the store.',
    ExitCode.store_unavailable: (
        'The store did not answer; a change may or may not have been saved.'
    ),
    ExitCode.conflict: (
        'Another operator saved the row first; nothing was saved and '
        'both rows are printed.'
    ),
    ExitCode.not_found: 'The table holds no such row; nothing was saved.',
    ExitCode.rejected: 'A row or an argument was refused; nothing was saved.',
    ExitCode.differs: '``table diff`` found differences.',
}

_CODE_BY_ERROR_KIND = {
    'config': ExitCode.config,
    'store-busy': ExitCode.store_unavailable,
    'store-unavailable': ExitCode.store_unavailable,
    'table-conflict': ExitCode.conflict,
    'version-conflict': ExitCode.conflict,
    'not-found': ExitCode.not_found,
    'rejected': ExitCode.rejected,
}


def get_exit_code(error: CicadahoistError) -> ExitCode:
    """Return the exit code of an error."""
    return _CODE_BY_ERROR_KIND.get(error.kind, ExitCode.error)
