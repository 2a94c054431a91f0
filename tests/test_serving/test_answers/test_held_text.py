"""Sound answers whose text resembles a head."""

import pytest

from tests.test_serving.test_answers.copies import build_answer, build_head
from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target


# Guards against an event that is held back until the next one arrives.
@pytest.mark.parametrize('text', [b'HTTP/', b'HTTP/2', b'HTTP/1.1', b'text'])
def test_an_event_with_text_of_a_head_is_passed_on_at_once(text):
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    caller = world.send_request(
        b'/check/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    sent = world.sent[0]
    sent.write(build_head(sent.attempt_id, framing='close'))
    event = b'id: 1\ndata: %s\n\n' % text
    sent.write(event)
    assert event in caller.received


# Guards against a wait to the deadline, as the id goes to the target in other
# bytes than it came in, and the echo seems to name another request.
def test_an_id_beyond_ascii_is_echoed():
    world = World()
    world.add(target('t1'))
    caller = world.caller()
    name = b'caf\xe9'
    caller.write(
        b'POST /submit/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n'
        b'Authorization: Token k1\r\nX-Cicadahoist-Attempt-Id: '
        + name
        + b'\r\n\r\n'
    )
    sent = world.sent[0]
    assert sent.attempt_id == name
    sent.write(build_answer(sent.attempt_id))
    assert (caller.status, caller.body) == (200, b'own')
