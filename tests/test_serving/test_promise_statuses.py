"""
Tests of statuses that promise that a request has not run.

They guard against such a status at the end of a request that a target may have
begun (REFUSED): a caller that trusts it sends the request again.
"""

import pytest

from tests.test_serving.world import (
    HANDLE_BODY,
    SHORT_PROMPT_HEADERS,
    TARGETS,
    World,
    prompt_headers,
)

PROMISES = (408, 429, 503)
SEAL = b'X-Cicadahoist-Server-Seal'


@pytest.fixture
def world():
    world = World()
    world.add(*TARGETS)
    return world


def expect_no_promise(caller):
    assert caller.status == 502
    assert caller.header(SEAL) is None
    assert caller.header(b'Retry-After') is None


# Guards against a target's own 503 that is passed on as a promise.
@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('is_signed', [True, False])
@pytest.mark.parametrize('path', [b'/submit/x', b'/open/x'])
def test_a_status_without_a_rejection_is_no_promise(
    world, path, is_signed, status
):
    caller = world.send_request(path)
    world.sent[0].answer(
        status, b'busy', [b'Retry-After: 0.5'], signed=is_signed
    )
    assert len(world.sent) == 1
    expect_no_promise(caller)


# Guards against the same at the end of the retries of a lookup.
@pytest.mark.parametrize('status', PROMISES)
def test_a_lookup_that_may_have_run_gets_no_promise(world, status):
    caller = world.send_request(b'/lookup/x')
    for sent in world.sent:
        sent.answer(status, b'busy')
    expect_no_promise(caller)


# Guards against a promise of the second target about a run of the first one.
@pytest.mark.parametrize('status', PROMISES)
def test_a_rejection_after_a_lost_run_gets_no_promise(world, status):
    caller = world.send_request(b'/lookup/x')
    world.sent[0].reset()
    world.sent[1].reject(status)
    expect_no_promise(caller)


# Guards against the same at engines: a run, with and without a prefill apart.
@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('is_prefilled', [True, False])
def test_a_status_of_an_engine_is_no_promise(world, is_prefilled, status):
    headers = prompt_headers() if is_prefilled else SHORT_PROMPT_HEADERS
    caller = world.send_request(b'/check/x', *headers, patience=2000)
    if is_prefilled:
        world.sent[0].answer(body=HANDLE_BODY)
    world.sent[-1].answer(status, b'busy')
    expect_no_promise(caller)


# Guards against the same for a stream that may be taken up.
@pytest.mark.parametrize('status', PROMISES)
def test_a_status_of_the_second_engine_is_no_promise(world, status):
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    world.sent[0].reset()
    world.sent[1].answer(status, b'busy')
    expect_no_promise(caller)


# Guards against replacing what is no promise.
@pytest.mark.parametrize('status', [400, 404, 409, 500, 502, 504])
def test_other_failures_are_passed_on_as_they_are(world, status):
    caller = world.send_request(b'/submit/x')
    world.sent[0].answer(status, b'broken')
    assert (caller.status, caller.body) == (status, b'broken')
    assert caller.header(SEAL) == b'seal-of-target'


# Guards against a failure where nothing can have run.
@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_a_rejection_is_still_a_promise(world, status):
    caller = world.send_request(b'/submit/x')
    world.sent[0].reject(status)
    assert caller.status == 503
