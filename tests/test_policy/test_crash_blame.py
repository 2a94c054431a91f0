"""Pattern: one request crashes each target that runs it and comes again."""

from cicadahoist.policy.crash_blame import (
    BLAME_TTL_MS,
    MAX_DIGESTS,
    Blame,
    CrashBlame,
)


def crash(blames, digest, target, true_ms):
    return blames.add(Blame(digest, target, true_ms))


def test_a_request_is_barred_after_its_third_crash():
    blames = CrashBlame()
    crash(blames, 'd', 't1', 1000)
    crash(blames, 'd', 't2', 2000)
    assert not blames.is_quarantined('d', 2000)
    crash(blames, 'd', 't3', 3000)
    assert blames.is_quarantined('d', 3000)


def test_requests_that_ran_beside_it_are_not_barred():
    blames = CrashBlame()
    for number, target in enumerate(('t1', 't2', 't3')):
        crash(blames, 'd', target, 1000 * number)
        crash(blames, f'beside-{number}', target, 1000 * number)
    assert not any(
        blames.is_quarantined(f'beside-{number}', 3000) for number in range(3)
    )


def test_one_crash_that_several_instances_tell_of_counts_once():
    blames = CrashBlame()
    assert crash(blames, 'd', 't1', 1000)
    assert not crash(blames, 'd', 't1', 1100)
    assert not crash(blames, 'd', 't1', 1200)
    assert not blames.is_quarantined('d', 1200)


def test_a_target_that_started_again_may_crash_again():
    blames = CrashBlame()
    for at_ms in (1000, 5000, 9000):
        crash(blames, 'd', 't1', at_ms)
    assert blames.is_quarantined('d', 9000)


def test_blames_lapse():
    blames = CrashBlame()
    for at_ms in (1000, 5000, 9000):
        crash(blames, 'd', 't1', at_ms)
    later_ms = 9000 + BLAME_TTL_MS + 1
    assert not blames.is_quarantined('d', later_ms)
    blames.drop_expired(later_ms)
    assert blames.is_empty


def test_memory_is_bounded():
    blames = CrashBlame()
    for number in range(MAX_DIGESTS + 10):
        crash(blames, f'd{number}', 't1', number)
    assert not blames.is_quarantined('d0', 0)
    assert len(blames._blames_by_digest) == MAX_DIGESTS
