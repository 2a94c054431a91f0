"""
Search for heads of other answers in bodies.

It guards against a copy of an answer that counts for the end of a body, and
against a body that is refused for the text that it holds.
"""

import random

import pytest

from cicadahoist.policy.answer_bounds.embedded_heads import (
    MAX_HEAD_BYTES,
    EmbeddedHeadSearch,
)

STATUS_LINE = b'HTTP/1.1 200 OK'
HEAD = STATUS_LINE + b'\r\nServer: worker\r\nX-Name: %s\r\n\r\n'
TEXTS = (
    b'HTTP/',
    b'HTTP/1.1 ',
    STATUS_LINE,
    b'\r\n',
    b'\n',
    b'X-Name: own',
    b'Server: worker\r\n',
    b': own\r\n',
    b'HHTTPH',
    b'text',
)


def search_in_pieces(body, size):
    """Return whether a head was found, and what was passed on."""
    search = EmbeddedHeadSearch(('own', 'old'))
    passed = b''
    for start in range(0, len(body), size):
        if not search.has_found:
            passed += search.feed(body[start : start + size])
    if search.has_found or search.is_cut((STATUS_LINE,)):
        return True, passed
    return False, passed + search.take_rest()


@pytest.mark.parametrize('size', [1, 3, 64, 4096])
@pytest.mark.parametrize('name', [b'own', b'old'])
@pytest.mark.parametrize('before', [b'', b'body', b'HTTP/1.1 200 OK\r\nX'])
@pytest.mark.parametrize('line_end', [b'\r\n', b'\n'])
def test_a_head_that_names_a_request_is_found(size, name, before, line_end):
    head = HEAD.replace(b'\r\n', line_end) % name
    has_found, passed = search_in_pieces(before + head + b'body', size)
    assert has_found
    assert passed == before


@pytest.mark.parametrize('size', [1, 64, 4096])
def test_names_are_compared_as_a_whole(size):
    for name in (b'ow', b'owner', b'own, old', b'other'):
        body = HEAD % name + b'own'
        assert search_in_pieces(body, size) == (False, body)


# Guards against a head that breaks off with its connection.
def test_a_body_may_not_end_within_a_head_of_its_own_status_line():
    head = HEAD % b'own'
    for cut in range(len(b'HTTP/'), len(head)):
        assert search_in_pieces(b'body' + head[:cut], 64)[0], cut
    for cut in range(len(b'HTTP/')):
        body = b'body' + head[:cut]
        assert search_in_pieces(body, 64) == (False, body)


# Guards against a copy that states another reason than the answer did.
def test_a_cut_head_is_told_by_its_status():
    for line_end in (b'\r\n', b'\n'):
        head = b'HTTP/1.1 200 Sure' + line_end + b'Server: w'
        assert search_in_pieces(b'body' + head, 64)[0]
        other = head.replace(b'200', b'404')
        assert search_in_pieces(other, 64) == (False, other)


def test_a_body_may_end_within_text_that_is_no_head():
    for end in (b'HTTP/2 is newer', b'HTTP/1.1 404 Not Found', b'HTTP', b'H'):
        assert search_in_pieces(b'body' + end, 3) == (False, b'body' + end)


# Guards against a body whose end is stated and lies inside another answer.
@pytest.mark.parametrize('size', [1, 64])
def test_a_head_may_begin_in_a_body_and_end_behind_it(size):
    head = HEAD % b'another'
    for cut in range(1, len(head)):
        search = EmbeddedHeadSearch(('own',))
        for start in range(0, cut, size):
            search.feed(head[start : min(start + size, cut)])
        assert search.is_continued(head[cut:]), cut
        assert not search.is_continued(b''), cut
        assert not search.is_continued(head), cut


def test_an_answer_behind_a_body_continues_no_text():
    for text in (b'', b'body', b'H', b'HTTP/1.1 ', STATUS_LINE, b'HTTP/1.'):
        search = EmbeddedHeadSearch(('own',))
        search.feed(text)
        assert not search.is_continued(HEAD % b'own')


# Guards against bytes that are held, or searched again and again.
def test_a_long_text_of_heads_is_passed_on_at_once():
    line = STATUS_LINE + b'\r\n' + b'a: b\r\n' * (MAX_HEAD_BYTES // 6 + 1)
    search = EmbeddedHeadSearch(('own',))
    passed = search.feed(line)
    assert len(passed) >= len(line) - len(b'a: b\r\n')
    lines = (STATUS_LINE + b'\n') * 4096
    passed += search.feed(lines)
    assert len(lines) - len(passed) + len(line) <= 2 * len(STATUS_LINE)


# Guards against bytes that are lost, doubled or put in another order.
@pytest.mark.parametrize('seed', range(20))
def test_bodies_of_random_text_are_passed_on_unchanged(seed):
    rng = random.Random(seed)
    for _ in range(100):
        body = b''.join(rng.choices(TEXTS, k=rng.randrange(1, 12)))
        whole = search_in_pieces(body, len(body))
        if not whole[0]:
            assert whole[1] == body
        for size in (1, rng.randrange(2, 9)):
            assert search_in_pieces(body, size)[0] is whole[0], body
