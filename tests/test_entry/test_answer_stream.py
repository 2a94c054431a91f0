"""
Streamed answers across attempts.

A retried or resumed attempt repeats, skips or mixes chunks. These tests guard
against tokens that are lost or repeated on the way to the caller, and against
a broken stream that is reported as complete.
"""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadahoist.entry.answer_stream import AnswerStream, Progress
from cicadahoist.entry.events import (
    DONE,
    EventSplitter,
    encode_event,
)
from cicadahoist.outside.bodies import MAX_EVENT_BYTES


def make_token_chunk(offset, answer_id='a1', text=None):
    return msgspec.json.encode(
        {
            'id': answer_id,
            'choices': [{'index': 0, 'text': text or f't{offset} '}],
            'token_offset': offset,
        }
    )


def make_end_chunk(offset, answer_id='a1'):
    return msgspec.json.encode(
        {
            'id': answer_id,
            'choices': [{'index': 0, 'text': '', 'finish_reason': 'stop'}],
            'token_offset': offset,
            'tokens': 0,
        }
    )


def make_usage_chunk(prompt, output, answer_id='a1'):
    return msgspec.json.encode(
        {
            'id': answer_id,
            'choices': [],
            'usage': {
                'prompt_tokens': prompt,
                'completion_tokens': output,
                'total_tokens': prompt + output,
            },
        }
    )


def feed(stream, payloads):
    out = []
    for payload in payloads:
        progress = stream.accept(payload, out)
        if progress is not Progress.going_on:
            return progress, out
    return Progress.going_on, out


def decode_texts(out):
    chunks = [msgspec.json.decode(event[6:]) for event in out]
    return [chunk['choices'][0]['text'] for chunk in chunks if chunk['choices']]


def test_complete_answer_is_relayed_unchanged():
    stream = AnswerStream(wants_usage=False)
    sent = [make_token_chunk(0), make_token_chunk(1), make_end_chunk(2)]
    progress, out = feed(stream, [*sent, make_usage_chunk(5, 2), DONE])
    assert progress is Progress.complete
    assert out == [encode_event(payload) for payload in sent]
    assert stream.usage.prompt_tokens == 5
    assert stream.usage.completion_tokens == 2


def test_stream_end_without_finish_reason_is_broken():
    stream = AnswerStream(wants_usage=False)
    progress, _ = feed(stream, [make_token_chunk(0), DONE])
    assert progress is Progress.broken


@pytest.mark.parametrize(
    'payload',
    [b'{"error": {"message": "crash"}}', b'{"choices": [', make_token_chunk(2)],
)
def test_error_event_invalid_json_or_token_gap_breaks_the_attempt(payload):
    stream = AnswerStream(wants_usage=False)
    progress, _ = feed(stream, [make_token_chunk(0), payload])
    assert progress is Progress.broken


def test_resumed_answer_keeps_the_id_of_the_first_attempt():
    stream = AnswerStream(wants_usage=True)
    _, first = feed(stream, [make_token_chunk(0), make_token_chunk(1)])
    stream.begin_attempt('')
    later = [
        make_token_chunk(2, 'b2'),
        make_end_chunk(3, 'b2'),
        make_usage_chunk(5, 1, 'b2'),
        DONE,
    ]
    progress, rest = feed(stream, later)
    assert progress is Progress.complete
    chunks = [msgspec.json.decode(event[6:]) for event in first + rest]
    assert {chunk['id'] for chunk in chunks} == {'a1'}
    assert chunks[-1]['usage']['completion_tokens'] == 3
    assert chunks[-1]['usage']['total_tokens'] == 8


def test_finish_reason_is_sent_only_once():
    stream = AnswerStream(wants_usage=False)
    _, first = feed(stream, [make_token_chunk(0), make_end_chunk(1)])
    stream.begin_attempt('')
    progress, rest = feed(
        stream, [make_end_chunk(1, 'b2'), make_usage_chunk(5, 1, 'b2'), DONE]
    )
    assert progress is Progress.complete
    assert len(first) == 2
    assert not rest


def test_chunks_of_another_attempt_are_dropped():
    stream = AnswerStream(wants_usage=False)
    stream.begin_attempt('a1')
    crossed = [
        make_token_chunk(0, 'x-a1', 'wrong '),
        make_token_chunk(1, 'x-a1', 'wrong '),
    ]
    _, out = feed(stream, [*crossed, make_token_chunk(0), make_token_chunk(1)])
    assert decode_texts(out) == ['t0 ', 't1 ']


@given(
    cut_offsets=st.lists(st.integers(0, 20), max_size=4),
    overlap_tokens=st.integers(0, 5),
)
def test_no_token_is_missing_or_doubled_over_any_attempts(
    cut_offsets, overlap_tokens
):
    stream = AnswerStream(wants_usage=False)
    received = []
    for cut_offset in cut_offsets:
        stream.begin_attempt('')
        start = max(0, stream.next_offset - overlap_tokens)
        _, out = feed(
            stream,
            [
                make_token_chunk(offset, f'x{cut_offset}')
                for offset in range(start, cut_offset)
            ],
        )
        received.extend(decode_texts(out))
    stream.begin_attempt('')
    rest = [
        make_token_chunk(offset, 'last')
        for offset in range(stream.next_offset, 20)
    ]
    progress, out = feed(stream, [*rest, make_end_chunk(20, 'last'), DONE])
    received.extend(decode_texts(out))
    assert progress is Progress.complete
    assert received == [f't{offset} ' for offset in range(20)] + ['']


@given(st.lists(st.integers(1, 9), max_size=30))
def test_events_are_split_independently_of_read_sizes(sizes):
    payloads = [b'{"a": 1}', b'[DONE]', b'{"b": "x"}']
    wire = b''.join(encode_event(payload) for payload in payloads)
    splitter = EventSplitter()
    received = []
    for size in sizes:
        received.extend(splitter.feed(wire[:size]))
        wire = wire[size:]
    received.extend(splitter.feed(wire))
    assert received == payloads


# An event without end was kept, and searched anew at each of its pieces.
def test_an_event_without_end_is_recognised_at_its_limit():
    splitter = EventSplitter()
    splitter.feed(b'data: x\n\n')
    for _ in range(MAX_EVENT_BYTES // 1024):
        assert not splitter.is_event_too_long
        assert not splitter.feed(bytes(1024))
    splitter.feed(b'x')
    assert splitter.is_event_too_long
