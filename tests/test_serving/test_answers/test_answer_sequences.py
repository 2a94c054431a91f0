"""
Random sequences of answers on a connection that is used again.

They guard against an answer that is not its caller's own, or not whole (MIXED),
and against a wait when nothing can come any more.
"""

from random import Random

import pytest

from tests.test_serving.test_answers.copies import reuse_connection

STATUSES = (200, 201, 404, 500, 503)
REASONS = (b' OK', b'', b' ', b' Not: found', b' a b')
HEADERS = (
    b'Server: worker',
    b'Content-Type: text/plain',
    b'Empty:',
    b'X-Tab:\ta b ',
    b'Server: two',
)
INTERIM_HEADS = (
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
)
TEXT = b'\r\n :;0aHTP/1.'


def build_random_answer(random, name, status, body, framing):
    """Return an answer whose head, line ends and chunks vary."""
    lines = random.sample(HEADERS, random.randint(0, len(HEADERS)))
    lines.append(
        random.choice((b'X-', b'x-')) + b'Cicadahoist-Attempt-Id: ' + name
    )
    lines.append(b'X-Cicadahoist-Server-Seal:%s-%d' % (name, status))
    framed = body
    if framing == 'length':
        lines.append(b'content-length: %d' % len(body))
    elif framing == 'chunks':
        lines.append(b'Transfer-Encoding: chunked')
        framed = build_random_chunks(random, body)
    random.shuffle(lines)
    lines.insert(0, b'HTTP/1.1 %d%s' % (status, random.choice(REASONS)))
    head = b'\r\n'.join(lines) + b'\r\n\r\n'
    interim = random.sample(INTERIM_HEADS, random.choice((0, 0, 0, 1, 2)))
    return b''.join(interim) + head + framed


def build_random_chunks(random, body):
    chunks = []
    while body:
        size = random.randint(1, len(body))
        chunks.append(b'%x\r\n%s\r\n' % (size, body[:size]))
        body = body[size:]
    trailer = random.choice((b'', b'X-Sum: 1\r\n'))
    return b''.join(chunks) + b'0\r\n' + trailer + b'\r\n'


def build_random_body(random, name):
    """Return a body; some hold a whole answer to the named request."""
    kind = random.randrange(3)
    if kind == 0:
        return b'c' * random.randint(0, 600)
    if kind == 1:
        return bytes(random.choices(TEXT, k=random.randint(1, 200)))
    status = random.choice(STATUSES)
    text = build_random_answer(random, name, status, b'text', 'length')
    return random.choice((b'', b'line\n')) + text


@pytest.mark.parametrize('seed', range(60))
def test_a_caller_gets_its_own_answer_or_a_failure(seed):
    random = Random(seed)
    _, caller, first, again = reuse_connection()
    received = b''
    for _ in range(random.randint(0, 2)):
        copy = build_random_answer(
            random,
            first.attempt_id,
            random.choice(STATUSES),
            build_random_body(random, first.attempt_id),
            random.choice(('length', 'chunks')),
        )
        is_cut = random.random() < 0.6
        received += copy[: random.randrange(len(copy))] if is_cut else copy
    status = random.choice((200, 201, 404, 500))
    framing = random.choice(('length', 'chunks', 'close'))
    body = build_random_body(random, again.attempt_id)
    received += build_random_answer(
        random, again.attempt_id, status, body, framing
    )
    if framing != 'close' or random.random() < 0.5:
        copy = build_random_answer(
            random, again.attempt_id, status, body, 'length'
        )
        received += copy
    size = random.choice((1, 17, 4096))
    for start in range(0, len(received), size):
        if not again.is_closed:
            again.write(received[start : start + size])
    assert framing == 'close' or caller.status is not None
    if not again.is_closed:
        again.close()
    assert caller.status in {status, 502}
    if caller.status == status:
        seal = b'%s-%d' % (again.attempt_id, status)
        assert caller.header(b'X-Cicadahoist-Server-Seal') == seal
        assert caller.body == body
