"""
Copies of an earlier answer that break off behind an answer without a length.

They guard against such a copy that is passed on as the end of the answer
(MIXED) because it has another status than the answer.
"""

import pytest

from tests.test_serving.test_answers.copies import build_answer
from tests.test_serving.world import World, target

STATUS_LINE_BYTES = len(b'HTTP/1.1 200')


@pytest.mark.parametrize(('earlier_status', 'status'), [(404, 200), (200, 500)])
def test_a_cut_copy_of_an_earlier_answer_is_no_part_of_an_answer(
    earlier_status, status
):
    name_start = build_answer(b'a0').index(b'a0')
    for cut in range(STATUS_LINE_BYTES, name_start):
        world = World()
        world.add(target('t1'))
        world.send_request(b'/submit/x')
        first = world.sent[0]
        earlier = build_answer(first.attempt_id, earlier_status)
        first.write(earlier)
        caller = world.send_request(b'/submit/x')
        again = world.sent[-1]
        assert again.connection is first.connection
        answer = build_answer(again.attempt_id, status, 'close', b'body')
        again.write(answer + earlier[:cut])
        again.close()
        assert caller.status == 502, cut
