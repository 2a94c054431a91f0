"""
Test harness: targets that answer twice, the second time late.

A target writes some headers before those that the interface specifies, so that
a copy of an answer can break off before the name of its request.
"""

from tests.test_serving.world import World, target

FIRST_HEADERS = (
    b'Server: worker',
    b'Content-Type: text/plain',
    b'Cache-Control: no-store',
)
FRAMINGS = ('length', 'chunks', 'close')


def build_head(name, status=200, framing='length', body=b'own'):
    """Return the head of an answer; a failure is signed as well."""
    lines = [b'HTTP/1.1 %d Status' % status, *FIRST_HEADERS]
    if framing == 'length':
        lines.append(b'Content-Length: %d' % len(body))
    elif framing == 'chunks':
        lines.append(b'Transfer-Encoding: chunked')
    lines.append(b'X-Cicadahoist-Attempt-Id: ' + name)
    lines.append(b'X-Cicadahoist-Server-Seal: seal-of-' + name)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def build_answer(name, status=200, framing='length', body=b'own'):
    """Return a complete answer; one that ends by a close is not closed yet."""
    framed = body
    if framing == 'chunks':
        framed = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    return build_head(name, status, framing, body) + framed


def reuse_connection(path=b'/submit/x', *headers, method=b'POST', **fields):
    """
    Let a request end, and send another one on its connection.

    :return: the world, the caller, and both requests as their target has them
    """
    world = World()
    world.add(target('t1'))
    world.send_request(path, *headers, method=method, **fields)
    first = world.sent[0]
    first.answer()
    caller = world.send_request(path, *headers, method=method, **fields)
    again = world.sent[-1]
    assert again.connection is first.connection
    assert again.connection.is_reused
    world.add(target('t2'))
    return world, caller, first, again
