"""
Tests of who may have a connection opened by a relay, and to what.

They guard against a relay that serves others than instances of its deployment,
and against one that connects to another process than the one that was named.
"""

import pytest

from cicadahoist.errors import WireError
from cicadahoist.listings import TargetDirectory
from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.relay_admission import RelayAdmission
from cicadahoist.serving.relay_messages import (
    LENGTH_BYTES,
    MAX_REQUEST_BYTES,
    STATUS_BY_REFUSAL,
    decode_request,
    encode_request,
)
from tests.test_serving.relay_world import TOKEN, request
from tests.test_serving.world import target


def create_admission(*listings, **limits):
    directory = TargetDirectory()
    directory.replace(listings)
    return RelayAdmission(TOKEN, directory, **limits)


def test_a_listed_target_is_admitted():
    listing = target('t1', started_ms=5)
    admission = create_admission(listing)
    assert admission.admit(request(started_ms=5)) is listing


@pytest.mark.parametrize(
    'fields',
    [
        {'token': ''},
        {'token': 'token-of-another'},
        {'token': TOKEN[:-1]},
        {'token': 'é'},
        {'version': 2},
    ],
)
def test_a_request_without_the_token_is_denied(fields):
    admission = create_admission(target('t1'))
    assert admission.admit(request(**fields)) is RelayRefusal.denied


@pytest.mark.parametrize(
    'fields',
    [
        {'target': 't2'},
        {'started_ms': 4},
    ],
)
def test_a_target_that_is_not_listed_so_is_denied(fields):
    """Guard against requests that reach another process or address."""
    admission = create_admission(target('t1', started_ms=5))
    sent = request(**{'started_ms': 5, **fields})
    assert admission.admit(sent) is RelayRefusal.denied


def test_a_target_that_is_gone_is_denied():
    admission = create_admission()
    assert admission.admit(request()) is RelayRefusal.denied


def test_a_draining_target_is_admitted():
    """Streams may go on at it; new work is decided by the sender."""
    listing = target('t1', is_leaving=True)
    admission = create_admission(listing)
    assert admission.admit(request()) is listing


def test_a_leaving_instance_admits_none():
    admission = create_admission(target('t1'))
    admission.is_leaving = True
    assert admission.admit(request()) is RelayRefusal.leaving


def test_relayed_connections_are_bounded():
    admission = create_admission(target('t1'), max_relayed=2)
    admission.relayed_count = 2
    assert admission.admit(request()) is RelayRefusal.busy


def test_a_stranger_learns_nothing_but_the_denial():
    """Guard against answers that tell a stranger the state of the relay."""
    admission = create_admission(max_relayed=0)
    admission.is_leaving = True
    assert admission.admit(request(token='x')) is RelayRefusal.denied


def test_a_request_is_decoded_once_it_is_complete():
    encoded = encode_request(request())
    for size in range(len(encoded)):
        assert decode_request(encoded[:size]) is None
    assert decode_request(encoded) == request()


@pytest.mark.parametrize(
    'received',
    [
        (MAX_REQUEST_BYTES + 1).to_bytes(LENGTH_BYTES),
        encode_request(request()) + b'x',
        b'\x00\x00',
        b'\x00\x03abc',
        b'GET / HTTP/1.1\r\n',
    ],
)
def test_bytes_that_are_no_request_are_rejected(received):
    with pytest.raises(WireError):
        decode_request(received)


def test_each_refusal_of_a_relay_has_its_own_status():
    statuses = set(STATUS_BY_REFUSAL.values())
    # A peer that is not reached sends none.
    assert len(statuses) == len(RelayRefusal) - 1
    assert all(len(status) == 1 for status in statuses)


def test_a_target_that_has_said_it_leaves_is_denied():
    directory = TargetDirectory()
    directory.put(target('t1', started_ms=5))
    directory.mark_leaving('t1', 5)
    admission = RelayAdmission(TOKEN, directory)
    assert admission.admit(request(started_ms=5)) is RelayRefusal.denied
