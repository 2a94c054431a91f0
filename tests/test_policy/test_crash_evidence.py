"""
Tests the evidence on parts of prompts that crash engines.

Guards against parts that go on crashing engines, and against sound parts that
are held because they stood beside one, are shared by most requests, or were
sent again after a crash.
"""

from cicadahoist.policy.crash_evidence import CrashEvidence
from cicadahoist.policy.crash_log import (
    REPORT_WAIT_MS,
    BegunRun,
    CrashReport,
)


def make_evidence(sound_count=100):
    """Return evidence after requests with a first part that all share."""
    evidence = CrashEvidence()
    for number in range(sound_count):
        evidence.record_request(('guide', f'tools-{number % 10}'))
    return evidence


def make_report(target, true_ms, *runs):
    return CrashReport(
        target, true_ms, tuple(BegunRun(space, parts) for space, parts in runs)
    )


def crash_engines(evidence, count, *, workspace='w1', start_ms=1000):
    """Crash engines under runs that share the guide and a part."""
    for number in range(count):
        parts = ('guide', 'p', f'other-{start_ms}-{number}')
        evidence.record_request(parts)
        at_ms = start_ms + 4000 * number
        beside = ('guide', f'tools-{number}')
        evidence.add_crash(
            make_report(
                f'e{number}', at_ms, (workspace, parts), (workspace, beside)
            )
        )
    return start_ms + 4000 * count


def judge(evidence, now_ms):
    """Return the decisions once reports have had time to arrive."""
    assert not evidence.find_guilty(now_ms - REPORT_WAIT_MS)
    return evidence.find_guilty(now_ms)


def test_a_part_that_is_in_each_crash_is_held_and_others_are_not():
    evidence = make_evidence()
    now_ms = crash_engines(evidence, 4)
    (hold,) = judge(evidence, now_ms)
    assert hold.part == 'p'
    assert hold.workspaces == ('w1',)
    assert hold.since_ms == now_ms
    assert hold.crash_count == 4
    assert hold.targets == ('e0', 'e1', 'e2', 'e3')
    assert not evidence.find_guilty(now_ms + 1000)


def test_two_crashes_hold_no_part():
    evidence = make_evidence()
    now_ms = crash_engines(evidence, 2)
    assert not judge(evidence, now_ms)
