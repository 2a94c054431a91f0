"""Declares commands: a session in front, ``--output``, typed errors."""

import inspect
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Annotated, Any

import typer

from cicadahoist.cmd.operator.exits import exit_of
from cicadahoist.cmd.operator.output import Output
from cicadahoist.cmd.operator.session import Session, run_coroutine
from cicadahoist.errors import CicadahoistError

Work = Callable[..., Coroutine[Any, Any, None]]

OUTPUT_PARAMETER = inspect.Parameter(
    'output',
    inspect.Parameter.KEYWORD_ONLY,
    default=Output.table,
    annotation=Annotated[Output, typer.Option(help='Form of the output.')],
)


def command(group: typer.Typer, name: str) -> Callable[[Work], Work]:
    """
    Return a decorator that adds a coroutine function to a group.

    The function's first parameter is the session; the command line gets the
    others and ``--output``.
    """

    def decorate(work: Work) -> Work:
        group.command(name)(_as_callback(work))
        return work

    return decorate


def _as_callback(work: Work) -> Callable[..., None]:
    @wraps(work)
    def callback(
        context: typer.Context, *, output: Output, **options: Any
    ) -> None:
        try:
            _run(work, context.obj, output, options)
        except CicadahoistError as error:
            raise report(error) from None

    signature = _with_output(inspect.signature(work))
    setattr(callback, '__signature__', signature)
    callback.__annotations__ = {
        parameter.name: parameter.annotation
        for parameter in signature.parameters.values()
    }
    return callback


def _run(
    work: Work, source: Any, output: Output, options: dict[str, Any]
) -> None:
    session: Session = source()
    session.output = output
    run_coroutine(work(session, **options))


def _with_output(signature: inspect.Signature) -> inspect.Signature:
    context = inspect.Parameter(
        'context',
        inspect.Parameter.POSITIONAL_OR_KEYWORD,
        annotation=typer.Context,
    )
    own = [
        parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for parameter in list(signature.parameters.values())[1:]
    ]
    return signature.replace(
        parameters=[context, *own, OUTPUT_PARAMETER], return_annotation=None
    )


def report(error: CicadahoistError) -> typer.Exit:
    """Print an error with its remedy and return the exit to raise."""
    typer.echo(f'error ({error.kind}): {error.problem}', err=True)
    typer.echo(f'remedy: {error.remedy}', err=True)
    return typer.Exit(exit_of(error))
