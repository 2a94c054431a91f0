import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadahoist.entry.answer_stream import AnswerStream, Progress
from cicadahoist.entry.events import DONE, EventSplitter, encode_event


def token(offset, answer_id='a1', text=None):
    return msgspec.json.encode(
        {
            'id': answer_id,
            'choices': [{'index': 0, 'text': text or f't{offset} '}],
            'token_offset': offset,
        }
    )


def end(offset, answer_id='a1'):
    return msgspec.json.encode(
        {
            'id': answer_id,
            'choices': [{'index': 0, 'text': '', 'finish_reason': 'stop'}],
            'token_offset': offset,
            'tokens': 0,
        }
    )


def usage(prompt, output, answer_id='a1'):
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


def texts(out):
    chunks = [msgspec.json.decode(event[6:]) for event in out]
    return [chunk['choices'][0]['text'] for chunk in chunks if chunk['choices']]


def test_a_whole_answer_passes_through_unchanged():
    stream = AnswerStream(wants_usage=False)
    sent = [token(0), token(1), end(2)]
    progress, out = feed(stream, [*sent, usage(5, 2), DONE])
    assert progress is Progress.complete
    assert out == [encode_event(payload) for payload in sent]
    assert stream.usage.prompt_tokens == 5
    assert stream.usage.completion_tokens == 2


def test_an_end_without_a_finish_reason_is_a_cut_answer():
    stream = AnswerStream(wants_usage=False)
    progress, _ = feed(stream, [token(0), DONE])
    assert progress is Progress.broken


@pytest.mark.parametrize(
    'payload', [b'{"error": {"message": "crash"}}', b'{"choices": [', token(2)]
)
def test_errors_garbage_and_gaps_break_the_attempt(payload):
    stream = AnswerStream(wants_usage=False)
    progress, _ = feed(stream, [token(0), payload])
    assert progress is Progress.broken


def test_a_resumed_answer_goes_on_under_the_first_id():
    stream = AnswerStream(wants_usage=True)
    _, first = feed(stream, [token(0), token(1)])
    stream.begin_attempt('')
    later = [token(2, 'b2'), end(3, 'b2'), usage(5, 1, 'b2'), DONE]
    progress, rest = feed(stream, later)
    assert progress is Progress.complete
    chunks = [msgspec.json.decode(event[6:]) for event in first + rest]
    assert {chunk['id'] for chunk in chunks} == {'a1'}
    assert chunks[-1]['usage']['completion_tokens'] == 3
    assert chunks[-1]['usage']['total_tokens'] == 8


def test_a_finish_that_the_caller_has_is_not_sent_twice():
    stream = AnswerStream(wants_usage=False)
    _, first = feed(stream, [token(0), end(1)])
    stream.begin_attempt('')
    progress, rest = feed(stream, [end(1, 'b2'), usage(5, 1, 'b2'), DONE])
    assert progress is Progress.complete
    assert len(first) == 2
    assert not rest


def test_chunks_of_another_attempt_are_dropped():
    stream = AnswerStream(wants_usage=False)
    stream.begin_attempt('a1')
    crossed = [token(0, 'x-a1', 'wrong '), token(1, 'x-a1', 'wrong ')]
    _, out = feed(stream, [*crossed, token(0), token(1)])
    assert texts(out) == ['t0 ', 't1 ']


@given(
    cuts=st.lists(st.integers(0, 20), max_size=4),
    back=st.integers(0, 5),
)
def test_no_token_is_missing_or_doubled_over_any_attempts(cuts, back):
    stream = AnswerStream(wants_usage=False)
    got = []
    for cut in cuts:
        stream.begin_attempt('')
        start = max(0, stream.next_offset - back)
        _, out = feed(
            stream, [token(at, f'x{cut}') for at in range(start, cut)]
        )
        got.extend(texts(out))
    stream.begin_attempt('')
    rest = [token(at, 'last') for at in range(stream.next_offset, 20)]
    progress, out = feed(stream, [*rest, end(20, 'last'), DONE])
    got.extend(texts(out))
    assert progress is Progress.complete
    assert got == [f't{at} ' for at in range(20)] + ['']


@given(st.lists(st.integers(1, 9), max_size=30))
def test_events_are_cut_the_same_however_bytes_arrive(sizes):
    payloads = [b'{"a": 1}', b'[DONE]', b'{"b": "x"}']
    wire = b''.join(encode_event(payload) for payload in payloads)
    splitter = EventSplitter()
    got = []
    for size in sizes:
        got.extend(splitter.feed(wire[:size]))
        wire = wire[size:]
    got.extend(splitter.feed(wire))
    assert got == payloads
