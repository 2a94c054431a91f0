"""Tests of a lease whose store comes back from an older copy (ONE)."""

import pytest

from cicadahoist.protocol.actions import WriteObject
from cicadahoist.protocol.events import (
    ObjectRead,
    Tick,
    WriteConfirmed,
    WriteUnknown,
)
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.records import (
    EPOCHS_PER_ERA,
    LeaseRecord,
    compute_next_epoch,
    decode_record,
    encode_record,
    get_era,
)
from cicadahoist.protocol.timing import LeaseTiming

TIMING = LeaseTiming(term_ms=3000, margin_ms=200, order_bound_ms=500)
HELD = encode_record(LeaseRecord(epoch=4, holder='other', nonce='x'))
RELEASED = encode_record(LeaseRecord(epoch=4, holder='other', released=True))


def make_lease():
    return LeaseKeeper('duties', 'i1', TIMING)


def find_write(actions):
    return next((one for one in actions if isinstance(one, WriteObject)), None)


# Guards against a claim while the holder of the era before may still act.
@pytest.mark.parametrize('payload', [b'', HELD, RELEASED])
def test_a_lease_is_claimed_a_term_after_the_begin_of_an_era(payload):
    lease = make_lease()
    version = 7 if payload else 0
    lease.handle(ObjectRead(version, payload, 1), 0)
    begin_ms = TIMING.takeover_ms + 5
    for now_ms in (begin_ms, begin_ms + TIMING.takeover_ms - 1):
        assert not find_write(
            lease.handle(ObjectRead(version, payload, 2), now_ms)
        )
    write = find_write(
        lease.handle(
            ObjectRead(version, payload, 2), begin_ms + TIMING.takeover_ms
        )
    )
    assert decode_record(write.payload).epoch == 2 * EPOCHS_PER_ERA + 1


# Guards against a process that starts right after the store has come back.
def test_a_newcomer_waits_in_any_era():
    lease = make_lease()
    assert not find_write(lease.handle(ObjectRead(0, b'', 5), 0))
    later_ms = TIMING.takeover_ms
    assert find_write(lease.handle(ObjectRead(0, b'', 5), later_ms))


# Guards against a write that counts although it was granted before.
@pytest.mark.parametrize('is_gone', [True, False])
def test_a_holder_whose_renewal_meets_another_era_steps_down(is_gone):
    lease = make_lease()
    lease.handle(ObjectRead(0, b'', 1), 0)
    won_ms = TIMING.takeover_ms
    claim = find_write(lease.handle(ObjectRead(0, b'', 1), won_ms))
    lease.handle(WriteConfirmed(claim.nonce, 3), won_ms)
    assert lease.is_holder(won_ms)
    renewed_ms = won_ms + TIMING.renewal_ms
    renewal = find_write(lease.handle(Tick(), renewed_ms))
    payload = b'' if is_gone else renewal.payload
    lease.handle(WriteUnknown(renewal.nonce), renewed_ms + 10)
    lease.handle(ObjectRead(0 if is_gone else 4, payload, 2), renewed_ms + 20)
    assert not lease.is_holder(renewed_ms + 20)


# Guards against an epoch of a copy that hides the era, or is from a later one.
@pytest.mark.parametrize(
    ('epoch', 'era', 'expected'),
    [
        (0, 0, 1),
        (41, 0, 42),
        (0, 3, 3 * EPOCHS_PER_ERA + 1),
        (41, 3, 3 * EPOCHS_PER_ERA + 1),
        (3 * EPOCHS_PER_ERA + 8, 3, 3 * EPOCHS_PER_ERA + 9),
    ],
)
def test_epochs_rise_within_an_era_and_from_one_to_the_next(
    epoch, era, expected
):
    assert compute_next_epoch(epoch, era) == expected
    assert get_era(expected) == era
