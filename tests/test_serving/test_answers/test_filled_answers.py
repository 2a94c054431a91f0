"""Answers that are truncated, and filled up by a copy that comes in pieces."""

import pytest

from tests.test_serving.test_answers.copies import (
    build_answer,
    reuse_connection,
)

BODY = b'b' * 300


# Guards against a body that ends in bytes of a copy (MIXED): the read with the
# last missing byte brings no more, so that nothing is behind the body yet.
@pytest.mark.parametrize('lost_bytes', [30, 90, 250])
@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_a_body_filled_up_by_the_first_part_of_a_copy_is_lost(
    lost_bytes, framing
):
    _, caller, _, again = reuse_connection()
    answer = build_answer(again.attempt_id, framing=framing, body=BODY)
    received = answer[:-lost_bytes] + answer
    for part in (received[: len(answer)], received[len(answer) :]):
        if not again.is_closed:
            again.write(part)
    if not again.is_closed:
        again.close()
    assert caller.status == 502
