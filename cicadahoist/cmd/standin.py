"""``cicadahoist-standin``: small stand-ins for targets and the platform."""

from typing import Annotated, Any

import typer

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.log import configure_logging
from cicadahoist.outside.platform import HttpWeightStore
from cicadahoist.outside.platform_messages import ListedInstance
from cicadahoist.standin.engine import Engine, EngineOptions
from cicadahoist.standin.engine_batch import EngineLimits
from cicadahoist.standin.engine_server import EngineServer
from cicadahoist.standin.engine_weights import WeightLoader
from cicadahoist.standin.objects import READS_PER_S, WRITES_PER_S, ObjectModel
from cicadahoist.standin.platform import PlatformOptions, PlatformServer
from cicadahoist.standin.platform_targets import Spare
from cicadahoist.standin.service import ServiceServer
from cicadahoist.standin.store import StoreServer
from cicadahoist.standin.web import WebApp

app = typer.Typer(no_args_is_help=True, help=__doc__)

Port = Annotated[int, typer.Option(help='TCP port on loopback, 0 for any.')]
Name = Annotated[str, typer.Option(help='Name of this stand-in.')]


@app.command()
def store(
    port: Port = 0,
    writes_per_s: Annotated[
        int, typer.Option(help='Rate limit of writes, 0 for none.')
    ] = WRITES_PER_S,
    reads_per_s: Annotated[
        int, typer.Option(help='Rate limit of reads, 0 for none.')
    ] = READS_PER_S,
    seed: Annotated[int, typer.Option(help='Seed of random faults.')] = 0,
) -> None:
    """Versioned objects with conditional updates and watches."""
    model = ObjectModel(seed, writes_per_s, reads_per_s)
    _serve(lambda clock, _: StoreServer(model, clock).app, port)


@app.command()
def engine(
    port: Port = 0,
    name: Name = 'engine-1',
    model: Annotated[
        list[str] | None, typer.Option(help='A loaded model; repeatable.')
    ] = None,
    fencing: Annotated[
        bool, typer.Option(help='Whether old fencing numbers are refused.')
    ] = True,
    step_ms: Annotated[int, typer.Option(help='Time of one step, in ms.')] = 10,
    token_budget: Annotated[
        int, typer.Option(help='Tokens that one step processes.')
    ] = 2048,
    change_ms: Annotated[
        int, typer.Option(help='Time that a change of role takes, in ms.')
    ] = 3000,
    weights: Annotated[
        str, typer.Option(help='URL of the weight store, empty for none.')
    ] = '',
) -> None:
    """One language-model engine."""
    options = EngineOptions(
        name=name,
        models=tuple(model or ('demo-model',)),
        fencing=fencing,
        role_change_ms=change_ms,
        limits=EngineLimits(
            step_ms=step_ms,
            token_budget=token_budget,
        ),
    )
    _serve(
        lambda clock, reactor: _engine_app(options, weights, clock, reactor),
        port,
    )


@app.command()
def service(port: Port = 0, name: Name = 'service-1') -> None:
    """One instance of a plain service."""
    _serve(lambda clock, _: ServiceServer(name, clock).app, port)


@app.command()
def platform(
    port: Port = 0,
    spare: Annotated[
        list[str] | None,
        typer.Option(
            help='A target for sale: name,zone,url,price[,reclaimable];'
            ' repeatable.'
        ),
    ] = None,
    instance: Annotated[
        list[str] | None,
        typer.Option(help='name,zone,address,port; repeatable.'),
    ] = None,
    arrival_ms: Annotated[
        int, typer.Option(help='Time until a bought target runs, in ms.')
    ] = 5000,
    list_lag_ms: Annotated[
        int, typer.Option(help='Lag of the list of instances, in ms.')
    ] = 2000,
    weights_per_s: Annotated[
        int, typer.Option(help='Rate limit of the weight store, 0 for none.')
    ] = 1,
) -> None:
    """Target orders, usage intake, list of instances and weight store."""
    options = PlatformOptions(
        arrival_ms=arrival_ms,
        list_lag_ms=list_lag_ms,
        weights_per_s=weights_per_s,
    )
    spares = [_parse_spare(text) for text in spare or ()]
    instances = [_parse_instance(text) for text in instance or ()]
    _serve(
        lambda clock, _: PlatformServer(options, clock, spares, instances).app,
        port,
    )


def main() -> None:
    """Run the command line."""
    app()


def _engine_app(
    options: EngineOptions, weights: str, clock: Clock, reactor: Any
) -> WebApp:
    engine = Engine(options, clock)
    if weights:
        config = Config.from_values(platform__url=weights)
        store = HttpWeightStore.from_config(config, reactor)
        engine.fetch_weights = WeightLoader(store, clock).fetch
    return EngineServer(engine, clock, reactor).app


def _parse_spare(text: str) -> Spare:
    try:
        name, zone, url, price, *flags = text.split(',')
    except ValueError:
        raise typer.BadParameter(
            f'{text}: expected name,zone,url,price[,reclaimable]'
        ) from None
    return Spare(
        name=name,
        zone=zone,
        url=url,
        price=int(price),
        reclaimable='reclaimable' in flags,
    )


def _parse_instance(text: str) -> ListedInstance:
    try:
        name, zone, address, port = text.split(',')
    except ValueError:
        raise typer.BadParameter(
            f'{text}: expected name,zone,address,port'
        ) from None
    return ListedInstance(name=name, zone=zone, address=address, port=int(port))


def _serve(build: Any, port: int) -> None:
    from twisted.internet import reactor as installed  # noqa: PLC0415, WPS433

    reactor: Any = installed
    configure_logging('text', 'INFO')
    web: WebApp = build(Clock.from_reactor(reactor), reactor)
    listening = web.listen(reactor, port)
    ready = f'ready {listening.getHost().port}'
    reactor.callWhenRunning(typer.echo, ready)
    reactor.run()


if __name__ == '__main__':
    main()
