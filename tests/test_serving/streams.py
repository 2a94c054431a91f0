"""Resumable requests, and callers that take their streams up."""

from itertools import count

from tests.test_serving.world import SHORT_PROMPT_HEADERS

BODY_NUMBERS = count(1)


def send_ask(world, *headers):
    """Send a resumable request; return its caller and its attempts so far."""
    sent_count = len(world.sent)
    caller = world.send_request(
        b'/ask/x',
        *SHORT_PROMPT_HEADERS,
        *headers,
        patience=15_000,
        # Equal bodies would be blamed for the crashes of several targets.
        body=b'%d' % next(BODY_NUMBERS),
    )
    return caller, world.sent[sent_count:]


def take_up(world, attempt_id):
    """Take a stream up after its first event, as `send_ask`."""
    return send_ask(world, b'Resumes: ' + attempt_id, b'Last-Event-Id: 1')
