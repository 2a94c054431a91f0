"""
Targets of the soak send copies as a faulty target may.

Copies inside other answers would let a sound program break its promises, and
copies that are never sent, or that always end alike, would not test it.
"""

import random

import pytest
from twisted.internet.task import Clock

from soak import stutters
from soak.stutters import FRAMINGS, PART_S, SHAPES, UNFRAMED, Answer, Stutter

BROKEN_SHAPES = ['broken_before_name', 'broken_behind_name', 'broken_in_body']


class Channel:
    """Connection of a target; keeps what is sent on it, and how it ends."""

    def __init__(self):
        self.transport = self
        self.sent = b''
        self.ends = []

    def write(self, part):
        self.sent += part

    def loseConnection(self):
        self.ends.append('close')

    def abortConnection(self):
        self.ends.append('reset')


class StutterCase:
    """A stutter that sends a copy whenever it may."""

    def __init__(self, monkeypatch, moment='behind', shape='whole', ending=''):
        monkeypatch.setattr(stutters, 'MOMENTS', (moment,))
        monkeypatch.setattr(stutters, 'SHAPES', {shape: SHAPES[shape]})
        if ending:
            endings = {ending: UNFRAMED[ending]}
            monkeypatch.setattr(stutters, 'UNFRAMED', endings)
        monkeypatch.setattr(stutters, 'COPIED_SHARE', 1)
        monkeypatch.setattr(stutters, 'UNFRAMED_SHARE', 1)
        self.clock = Clock()
        self.channel = Channel()
        self.stutter = Stutter(self.clock, random.Random(1))
        self.answer = Answer('a1', 't1.1', 404, b'answer to a1')
        self.copies = [
            self.answer.encode_head(framing) + self.answer.encode_body(framing)
            for framing in FRAMINGS
        ]

    def answer_request(self):
        self.stutter.receive_request(self.channel)
        self.stutter.finish_answer(self.channel, self.answer)


@pytest.fixture
def build_case(monkeypatch):
    return lambda *names: StutterCase(monkeypatch, *names)


@pytest.mark.parametrize('shape', SHAPES)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_a_copy_is_whole_or_breaks_off_where_its_shape_says(shape, framing):
    answer = Answer('a1', 't1.1', 404, b'answer to a1')
    head, body = answer.encode_head(framing), answer.encode_body(framing)
    for seed in range(40):
        parts = SHAPES[shape](head, body, random.Random(seed))
        sent = b''.join(parts)
        assert sent and (head + body).startswith(sent)
        assert (sent == head + body) == (shape not in BROKEN_SHAPES)
        assert len(parts) == 1 + (shape == 'in_parts')
        assert (b'a1' in sent) == (shape != 'broken_before_name')
        assert sent.startswith(head) == (not shape.endswith('name'))


@pytest.mark.parametrize('moment', stutters.MOMENTS)
def test_a_copy_comes_at_its_moment_and_only_while_the_target_stutters(
    build_case, moment
):
    case = build_case(moment)
    case.answer_request()
    case.clock.advance(1)
    assert not case.channel.sent
    assert (case.stutter.choose_status(), case.stutter.choose_size()) == (
        200,
        1,
    )
    case.stutter.begin()
    case.answer_request()
    assert bool(case.channel.sent) == (moment != 'idle')
    case.clock.advance(1)
    assert case.channel.sent in case.copies
    case.stutter.end()
    case.answer_request()
    case.clock.advance(1)
    assert case.channel.sent in case.copies


def test_a_copy_in_parts_is_complete_before_the_next_answer(build_case):
    case = build_case('next', 'in_parts')
    case.answer_request()
    case.stutter.begin()
    wait_s = case.stutter.receive_request(case.channel)
    assert case.channel.sent not in case.copies
    case.clock.advance(wait_s)
    assert case.channel.sent in case.copies
    assert not case.stutter.receive_request(Channel())


def test_an_idle_copy_does_not_come_into_another_answer(build_case):
    case = build_case('idle')
    case.stutter.begin()
    case.answer_request()
    case.stutter.receive_request(case.channel)
    case.clock.advance(1)
    assert not case.channel.sent


@pytest.mark.parametrize('ending', UNFRAMED)
def test_an_unframed_answer_ends_with_its_connection(build_case, ending):
    case = build_case('behind', 'whole', ending)
    head, body = case.answer.encode_head(), case.answer.body
    assert not case.stutter.send_unframed(case.channel, case.answer)
    case.stutter.begin()
    assert case.stutter.send_unframed(case.channel, case.answer)
    is_reset = ending == 'unframed_and_reset'
    assert case.answer.is_whole == (not is_reset)
    assert case.channel.sent.startswith(head + body) == (not is_reset)
    assert case.channel.sent.count(head[:20]) == 1 + ending.endswith('copied')
    assert not case.channel.ends
    case.clock.advance(2 * PART_S)
    assert case.channel.ends == ['reset' if is_reset else 'close']
