"""Processor time of one request on the front's data path, without sockets."""

import cProfile
import pstats
import sys
import time

from loguru import logger

from tests.test_serving.world import World, prompt_headers, target

KV_HANDLE = b'{"kv-handle":"h7","tokens":9000,"version":1}'
REQUESTS = 2000
FUNCTIONS_SHOWN = 12


def build_world() -> World:
    """Return an instance with twelve engines and three plain targets."""
    world = World()
    world.add(*(target(f't{n}') for n in range(3)))
    world.add(*(target(f'p{n}', 'llm', 'prefill') for n in range(9)))
    world.add(*(target(f'd{n}', 'llm', 'decode') for n in range(3)))
    return world


def lookup(world: World) -> None:
    """Serve one request of a plain service."""
    caller = world.send_request(b'/lookup/x', method=b'GET')
    world.sent[-1].answer(body=b'x' * 800)
    finish_request(world, caller)


def check(world: World) -> None:
    """Serve one request with prefill and decode on two engines."""
    caller = world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    world.sent[-1].answer(body=KV_HANDLE)
    run = world.sent[-1]
    run.begin_stream()
    run.send_events(1)
    run.send_events(2)
    run.end_stream()
    finish_request(world, caller)


def finish_request(world: World, caller) -> None:
    """Check the status and drop the recorded requests."""
    if caller.status != 200:
        raise RuntimeError(f'status {caller.status}')
    for sent in world.sent:
        sent.transport.clear()
    world.sent.clear()


def measure(serve) -> float:
    """Return the processor time of one request in microseconds."""
    world = build_world()
    serve(world)
    started_s = time.process_time()
    for _ in range(REQUESTS):
        serve(world)
    return (time.process_time() - started_s) / REQUESTS * 1e6


def main() -> None:
    """Print the time of each kind of request and a profile of ``check``."""
    logger.remove()
    logger.add(lambda message: None, level='INFO')
    for serve in (lookup, check):
        sys.stdout.write(f'{serve.__name__}: {measure(serve):.0f} us\n')
    world = build_world()
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(REQUESTS):
        check(world)
    profile.disable()
    pstats.Stats(profile).sort_stats('cumulative').print_stats(40)
    pstats.Stats(profile).sort_stats('tottime').print_stats(FUNCTIONS_SHOWN)


if __name__ == '__main__':
    main()
