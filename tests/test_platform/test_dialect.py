"""
Test the translation between the platform's headers and the core.

Headers that callers forge must not reach targets, and an answer may count as
complete only if its target signed it for this attempt.
"""

import pytest

from cicadahoist.errors import CallerError
from cicadahoist.platform.dialect import Dialect
from cicadahoist.requests import AnswerMeaning, Handle, SendOptions

SIGNED = (b'x-cicadahoist-server-seal', b's')


def decode_request(*headers, body=b''):
    base = [(b'host', b'h.example'), (b'x-cicadahoist-attempt-id', b'a1')]
    return Dialect().request_from(b'POST', b'/p/x?q=1', [*base, *headers], body)


def encode_attempt(request, **options):
    options = SendOptions(target='t1', **options)
    return Dialect().target_headers(request, options, '10.0.0.1:80')


def find_headers(headers, name):
    return [text for key, text in headers if key.lower() == name]


def classify(status, *headers):
    return (
        Dialect().answer_head(decode_request(), status, list(headers)).meaning
    )


def test_prompt_headers_are_decoded():
    work = decode_request(
        (b'x-cicadahoist-model', b'm'),
        (b'x-cicadahoist-token-count', b'1460,80'),
        (b'x-cicadahoist-prompt-prefix', b'5c:800, 91:410,e4:250'),
        (b'x-cicadahoist-length-hint', b'33'),
    ).work
    assert (work.prompt_tokens, work.max_output_tokens) == (1460, 80)
    assert [part.tokens for part in work.parts] == [800, 410, 250]
    assert work.parts[1].digest == '91'
    assert work.estimated_output_tokens == 33


@pytest.mark.parametrize(
    'header',
    [
        (b'x-cicadahoist-deadline-ms', b'soon'),
        (b'x-cicadahoist-token-count', b'many,1'),
        (b'x-cicadahoist-prompt-prefix', b'5c'),
    ],
)
def test_malformed_headers_are_rejected(header):
    counts = (b'x-cicadahoist-token-count', b'1,1')
    headers = [header] if header[0] == counts[0] else [counts, header]
    with pytest.raises(CallerError):
        decode_request(*headers)


@pytest.mark.parametrize(
    'name',
    [
        b'x-cicadahoist-tenant',
        b'x-cicadahoist-expect-instance',
        b'x-cicadahoist-serving-stage',
        b'x-cicadahoist-kv-source',
        b'x-cicadahoist-kv-hold',
        b'x-cicadahoist-kv-backup',
        b'x-cicadahoist-pin-ms',
        b'x-cicadahoist-request-priority',
        b'x-cicadahoist-expect-version',
        b'kv-fetch',
        b'authorization',
    ],
)
def test_what_only_the_system_sets_is_not_taken_from_callers(name):
    request = decode_request((name, b'forged'))
    assert b'forged' not in [text for _, text in encode_attempt(request)]


def test_key_is_read_and_never_forwarded():
    request = decode_request((b'authorization', b'Token k1'))
    assert request.key == 'k1'
    assert not find_headers(encode_attempt(request), b'authorization')


def test_hop_by_hop_headers_are_not_forwarded():
    request = decode_request(
        (b'connection', b'keep-alive, x-hop'),
        (b'x-hop', b'1'),
        (b'x-own', b'2'),
        (b'transfer-encoding', b'chunked'),
    )
    names = [name.lower() for name, _ in encode_attempt(request)]
    assert b'x-own' in names
    assert b'x-hop' not in names
    assert b'transfer-encoding' not in names
    assert find_headers(encode_attempt(request), b'content-length') == [b'0']


def test_attempt_headers_carry_target_workspace_and_remaining_time():
    headers = encode_attempt(decode_request(), workspace='w1', remaining_ms=700)
    assert find_headers(headers, b'x-cicadahoist-expect-instance') == [b't1']
    assert find_headers(headers, b'x-cicadahoist-tenant') == [b'w1']
    assert find_headers(headers, b'x-cicadahoist-deadline-ms') == [b'700']
    assert find_headers(headers, b'x-cicadahoist-attempt-id') == [b'a1']


def test_kv_source_header_holds_address_and_handle_name():
    headers = encode_attempt(
        decode_request(), handle=Handle('e1', '10.0.0.9:80', 'h7')
    )
    assert find_headers(headers, b'x-cicadahoist-kv-source') == [
        b'10.0.0.9:80/h7'
    ]


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (200, [SIGNED], AnswerMeaning.whole),
        (200, [], AnswerMeaning.unsigned),
        (200, [SIGNED, (b'content-encoding', b'gzip')], AnswerMeaning.unsigned),
        (
            200,
            [SIGNED, (b'x-cicadahoist-attempt-id', b'a0')],
            AnswerMeaning.foreign,
        ),
        (500, [SIGNED], AnswerMeaning.failure),
        (503, [SIGNED], AnswerMeaning.failure),
        (
            503,
            [(b'x-cicadahoist-not-executed', b'1')],
            AnswerMeaning.not_run,
        ),
        (421, [], AnswerMeaning.misplaced),
    ],
)
def test_answers_are_classified_by_status_signature_and_attempt_id(
    status, headers, expected
):
    assert classify(status, *headers) is expected


def test_retry_after_is_given_in_seconds():
    headers = Dialect().own_headers(decode_request(), 250)
    assert find_headers(headers, b'retry-after') == [b'0.250']
    assert not find_headers(
        Dialect().own_headers(decode_request(), None), b'retry-after'
    )


def test_own_answers_have_no_signature():
    names = [
        name.lower() for name, _ in Dialect().own_headers(decode_request(), 1)
    ]
    assert SIGNED[0] not in names
