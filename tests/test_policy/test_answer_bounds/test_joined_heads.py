"""
Recognition of heads that were made of two.

It guards against a status that belongs to another answer than the name below.
"""

import pytest

from cicadahoist.policy.answer_bounds.joined_heads import is_joined_head


@pytest.mark.parametrize(
    ('headers', 'reason'),
    [
        ([], b'Not FouHTTP/1.1 200 OK'),
        ([], b'HTTP/1.1 200 OK'),
        ([(b'date', b'Mon, 07HTTP/1.1 503 Busy')], b'OK'),
        ([(b'a', b'b'), (b'x-name', b'HTTP/1.0 404')], b'OK'),
    ],
)
def test_a_status_line_inside_a_head_shows_another_one(headers, reason):
    assert is_joined_head(headers, reason)


@pytest.mark.parametrize(
    'text', [b'', b'HTTP/1.1 gateway', b'1.1 proxy', b'HTTP/2', b'HTTP/1.1']
)
def test_other_words_of_the_protocol_do_not(text):
    assert not is_joined_head([(b'via', text)], b'OK')
