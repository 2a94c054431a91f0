"""
Tests of open requests whose route or target changes.

They guard against answers that are cut off because a new configuration drops,
moves or shortens their route, or because their target is no longer listed.
"""

import pytest

from tests.test_serving.test_takeover import (
    advance_in_steps,
    begin_ask,
    make_world,
)
from tests.test_serving.world import deployment, route, target

CHANGED_ROUTES = {
    'dropped': [],
    'moved': [route('ask', '/ask/', 'app')],
    'shortened': [
        route('ask', '/ask/', 'llm', uses_engines=True, timeout_ms=300)
    ],
}


def end_ask(world, caller):
    advance_in_steps(world, 1500)
    world.sent[0].send_events(3)
    world.sent[0].end_stream()
    assert caller.body.count(b'data: t') == 3
    assert caller.body.endswith(b'0\r\n\r\n')


# Guards against a configuration that ends the requests of the one before.
@pytest.mark.parametrize('change', CHANGED_ROUTES)
def test_a_stream_goes_on_under_its_old_route(change):
    world = make_world(target('d1', 'llm', 'decode'))
    caller = begin_ask(world)
    routes = CHANGED_ROUTES[change]
    world.context.apply_deployment(deployment(version=3, routes=routes))
    end_ask(world, caller)


# Guards against a list of targets that ends the attempts at others.
def test_a_stream_goes_on_at_an_engine_that_is_no_longer_listed():
    world = make_world(target('d1', 'llm', 'decode'))
    caller = begin_ask(world)
    world.context.fleet.directory.remove('d1')
    end_ask(world, caller)
