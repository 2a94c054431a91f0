"""
Tests of numbers of events that are no numbers, or too long for one.

They guard against requests that end in an unexpected error of this instance.
"""

import pytest

from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target

LONG = b'9' * 5000


def send_ask(*headers):
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, *headers, patience=15_000
    )
    world.sent[0].begin_stream()
    return world.sent[0], caller


# Guards against a Last-Event-Id that ends a request in an unexpected error.
@pytest.mark.parametrize('number', [b'\xb2', LONG, b'-1', b'x'])
def test_an_odd_last_event_id_does_not_end_a_request(number):
    run, caller = send_ask(b'Last-Event-Id: ' + number)
    run.send_events(1)
    run.end_stream()
    assert b'id: 1\ndata: t1\n\n' in caller.body
    assert caller.body.endswith(b'0\r\n\r\n')


# Guards against an event that ends a stream in an unexpected error.
@pytest.mark.parametrize('number', [b'\xb2', LONG, b'-1', b'x'])
def test_an_event_with_an_odd_number_is_passed_on(number):
    run, caller = send_ask()
    event = b'id: ' + number + b'\ndata: a\n\n'
    run.send_bytes(event)
    run.end_stream()
    assert event in caller.body
    assert caller.body.endswith(b'0\r\n\r\n')
