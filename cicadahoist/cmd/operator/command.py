"""Registers commands: adds a session, ``--output`` and error handling."""

import inspect
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Annotated, Any

import typer

from cicadahoist.cmd.operator.exit_codes import get_exit_code
from cicadahoist.cmd.operator.output import OutputFormat
from cicadahoist.cmd.operator.session import Session, run_coroutine
from cicadahoist.errors import CicadahoistError

CommandFunction = Callable[..., Coroutine[Any, Any, None]]

OUTPUT_PARAMETER = inspect.Parameter(
    'output',
    inspect.Parameter.KEYWORD_ONLY,
    default=OutputFormat.table,
    annotation=Annotated[OutputFormat, typer.Option(help='Output format.')],
)


def add_command(
    group: typer.Typer, name: str
) -> Callable[[CommandFunction], CommandFunction]:
    """
    Return a decorator that registers a coroutine function as a command.

    The first parameter of the function is the session. The others become
    parameters of the command, which also has ``--output``.

    :param group: group that gets the command
    :param name: name of the command
    """

    def decorate(function: CommandFunction) -> CommandFunction:
        group.command(name)(_make_callback(function))
        return function

    return decorate


def _make_callback(function: CommandFunction) -> Callable[..., None]:
    @wraps(function)
    def callback(
        context: typer.Context, *, output: OutputFormat, **options: Any
    ) -> None:
        try:
            _run_command(function, context.obj, output, options)
        except CicadahoistError as error:
            raise report_error(error) from None

    signature = _build_signature(inspect.signature(function))
    setattr(callback, '__signature__', signature)
    callback.__annotations__ = {
        parameter.name: parameter.annotation
        for parameter in signature.parameters.values()
    }
    return callback


def _run_command(
    function: CommandFunction,
    open_session: Any,
    output: OutputFormat,
    options: dict[str, Any],
) -> None:
    session: Session = open_session()
    session.output_format = output
    run_coroutine(function(session, **options))


def _build_signature(signature: inspect.Signature) -> inspect.Signature:
    context = inspect.Parameter(
        'context',
        inspect.Parameter.POSITIONAL_OR_KEYWORD,
        annotation=typer.Context,
    )
    option_parameters = [
        parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for parameter in list(signature.parameters.values())[1:]
    ]
    return signature.replace(
        parameters=[context, *option_parameters, OUTPUT_PARAMETER],
        return_annotation=None,
    )


def report_error(error: CicadahoistError) -> typer.Exit:
    """
    Print an error with its remedy.

    :return: exception to raise, with the exit code of the error
    """
    typer.echo(f'error ({error.kind}): {error.problem}', err=True)
    typer.echo(f'remedy: {error.remedy}', err=True)
    return typer.Exit(get_exit_code(error))
