"""
Copies of earlier answers behind an answer without a length.

They guard against bytes of such a copy that are passed on as the end of the
answer (MIXED).
"""

import pytest

from tests.test_serving.test_answers.copies import build_answer
from tests.test_serving.world import World, target

# Answers that a target can give to earlier requests of its connection.
EARLIER_STATUSES = [404, 500]
INTERIM_HEAD = b'HTTP/1.1 100 Continue\r\n\r\n'


def send_on_one_connection(count, status):
    """
    Send requests one after the other; all but the last one are answered.

    :return: the caller of the last one, and all as their target has them
    """
    world = World()
    world.add(target('t1'))
    while True:
        caller = world.send_request(b'/submit/x')
        if len(world.sent) == count:
            break
        sent = world.sent[-1]
        sent.write(build_answer(sent.attempt_id, status))
    assert len({sent.connection for sent in world.sent}) == 1
    return caller, world.sent


def check_whole(caller, sent, behind):
    sent.write(build_answer(sent.attempt_id, framing='close') + behind)
    if not sent.is_closed:
        sent.close()
    assert (caller.status, caller.body) in {(200, b'own'), (502, b'')}


# Guards against a copy with another status line than the answer has, which
# breaks off before it names its request.
@pytest.mark.parametrize('status', EARLIER_STATUSES)
def test_a_cut_copy_with_another_status_is_no_part_of_an_answer(status):
    caller, sent = send_on_one_connection(2, status)
    copy = build_answer(sent[0].attempt_id, status)
    check_whole(caller, sent[-1], copy[:60])


# Guards against a copy that begins with an interim head, and breaks off there.
def test_a_copy_cut_behind_its_interim_head_is_no_part_of_an_answer():
    caller, sent = send_on_one_connection(2, 200)
    check_whole(caller, sent[-1], INTERIM_HEAD)


# Guards against a copy of an answer to a request that is not remembered.
def test_a_copy_of_an_old_answer_is_no_part_of_an_answer():
    caller, sent = send_on_one_connection(35, 200)
    copy = build_answer(sent[0].attempt_id)
    check_whole(caller, sent[-1], copy)
