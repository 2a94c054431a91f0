"""
Answers on one connection of a caller, read as a client reads them.

They guard against bytes of one answer that run into the next one (MIXED).
"""

import h11
import pytest

from tests.test_serving.test_answers.copies import build_answer
from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target

LENGTH = b'content-length'
CODING = b'transfer-encoding'


class Client:
    """A caller that sends its requests at once, and reads what comes."""

    def __init__(self, *methods, path=b'/submit/x', headers=()):
        self.world = World()
        self.world.add(target('t1'), target('d1', 'llm', 'decode'))
        self.caller = self.world.caller()
        self._methods = methods
        auth = b'Authorization: Token k1'
        self.names = [
            self.caller.send(path, [auth, *headers], method=method)
            for method in methods
        ]

    def answer(self, number, status, *lines, body=b''):
        """Answer a request; the next one is then handled."""
        sent = self.world.sent[number]
        assert sent.attempt_id == self.names[number]
        head = [b'HTTP/1.1 %d Status' % status, *lines]
        head.append(b'X-Cicadahoist-Attempt-Id: ' + sent.attempt_id)
        head.append(b'X-Cicadahoist-Server-Seal: seal-of-' + sent.attempt_id)
        sent.write(b'\r\n'.join(head) + b'\r\n\r\n' + body)
        self.world.clock.advance(1)

    def read_all(self):
        """Return status, headers and body of each answer."""
        rest = self.caller.received
        answers = []
        for method, name in zip(self._methods, self.names, strict=True):
            http = h11.Connection(h11.CLIENT)
            http.send(
                h11.Request(method=method, target='/', headers=[('Host', 'h')])
            )
            http.send(h11.EndOfMessage())
            http.receive_data(rest)
            head = http.next_event()
            body = b''
            while type(event := http.next_event()) is h11.Data:
                body += event.data
            assert type(event) is h11.EndOfMessage
            headers = dict(head.headers)
            assert headers[b'x-cicadahoist-attempt-id'] == name
            answers.append((head.status_code, headers, body))
            rest = http.trailing_data[0]
        assert not rest
        return answers


# Guards against a body, or the statement of one, where none may be.
@pytest.mark.parametrize('body', [b'', b'own'])
@pytest.mark.parametrize(
    ('method', 'status'),
    [(b'GET', 204), (b'GET', 304), (b'HEAD', 200), (b'HEAD', 404)],
)
def test_an_answer_without_a_body_is_followed_by_the_next(method, status, body):
    client = Client(method, b'GET')
    client.answer(0, status, b'Content-Length: 3', body=body)
    client.answer(1, 200, b'Content-Length: 3', body=b'own')
    bare, whole = client.read_all()
    assert bare[0] == status
    assert not bare[2]
    assert (whole[0], whole[2]) == (200, b'own')


# RFC 9110, section 8.6: the length is that of the answer to GET, or not stated.
@pytest.mark.parametrize(
    ('method', 'status', 'lines', 'expected'),
    [
        (b'GET', 204, [b'Content-Length: 0'], None),
        (b'GET', 204, [], None),
        (b'GET', 304, [b'Content-Length: 3'], b'3'),
        (b'GET', 304, [], None),
        (b'HEAD', 200, [b'Content-Length: 3'], b'3'),
        (b'HEAD', 200, [b'Transfer-Encoding: chunked'], None),
        (b'HEAD', 404, [b'Content-Length: 3'], b'3'),
        (b'GET', 404, [b'Content-Length: 3'], b'3'),
    ],
)
def test_the_length_of_an_answer_is_not_made_up(
    method, status, lines, expected
):
    client = Client(method)
    body = b'own' if (method, status) == (b'GET', 404) else b''
    client.answer(0, status, *lines, body=body)
    [(_, headers, _)] = client.read_all()
    assert headers.get(LENGTH) == expected


# Guards against framing of a target, and what concerns its connection only.
def test_a_header_that_concerns_one_connection_is_not_passed_on():
    client = Client(b'GET', b'GET')
    client.answer(
        0,
        200,
        b'Connection: X-Own, Keep-Alive',
        b'Connection: X-More, X-Cicadahoist-Server-Seal',
        b'X-Own: 1',
        b'X-More: 1',
        b'Keep-Alive: timeout=5',
        b'Trailer: X-Sum',
        b'Upgrade: other',
        b'Transfer-Encoding: chunked',
        b'X-Other: 2',
        body=b'3\r\nown\r\n0\r\nX-Sum: 3\r\n\r\n',
    )
    client.answer(1, 200, b'Content-Length: 3', body=b'own')
    first, second = client.read_all()
    assert first[2] == second[2] == b'own'
    assert set(first[1]) == {*second[1], b'x-other'}


# Guards against bytes in a header that end a line for some readers.
@pytest.mark.parametrize('byte', [b'\r', b'\n', b'\0', b'\x0b', b'\x0c'])
def test_a_header_with_a_line_end_is_not_passed_on(byte):
    client = Client(b'POST', b'POST')
    line = b'X-Odd: a' + byte + b'HTTP/1.1 200 OK'
    client.answer(0, 200, line, b'Content-Length: 3', body=b'own')
    client.answer(1, 200, b'Content-Length: 3', body=b'own')
    first, second = client.read_all()
    assert (first[0], first[2]) == (502, b'')
    assert (second[0], second[2]) == (200, b'own')


# Guards against an answer behind one that was cut.
def test_nothing_follows_a_stream_that_breaks_off():
    client = Client(
        b'POST', b'POST', path=b'/check/x', headers=SHORT_PROMPT_HEADERS
    )
    sent = client.world.sent[0]
    sent.begin_stream()
    sent.send_events(1)
    received = client.caller.received
    sent.reset()
    client.world.clock.advance(1000)
    assert client.caller.transport.is_aborted
    assert client.caller.received == received
    assert len(client.world.sent) == 1


# Guards against an answer that comes when its caller has got another one.
def test_an_answer_behind_the_deadline_is_not_sent():
    client = Client(
        b'POST', b'POST', headers=[b'X-Cicadahoist-Deadline-Ms: 100']
    )
    late = client.world.sent[0]
    client.world.clock.advance(150)
    client.world.clock.advance(1)
    if not late.is_closed:
        late.write(build_answer(late.attempt_id))
    first, _ = client.read_all()
    assert first[0] == 504
