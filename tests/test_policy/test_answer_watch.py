"""
Tests the detection of targets that hang while their health check passes.

Such a target accepts requests and sends nothing, so that callers wait until
their timeout. A busy target must not be taken for one.
"""

from cicadahoist.policy.answer_watch import AnswerWatch

BOUND_MS = 400


def test_a_target_without_activity_is_silent_after_its_bound():
    watch = AnswerWatch()
    watch.record_start('t1', BOUND_MS, 1000)
    assert not watch.is_silent('t1', 1399)
    assert watch.is_silent('t1', 1400)


def test_a_target_that_responds_to_other_attempts_is_not_silent():
    watch = AnswerWatch()
    watch.record_start('t1', BOUND_MS, 1000)
    watch.record_activity('t1', 1390)
    assert not watch.is_silent('t1', 1700)
    assert watch.is_silent('t1', 1800)


def test_the_oldest_open_attempt_sets_the_bound():
    watch = AnswerWatch()
    oldest = watch.record_start('t1', BOUND_MS, 1000)
    watch.record_start('t1', BOUND_MS, 1300)
    assert watch.is_silent('t1', 1500)
    watch.record_end('t1', oldest)
    assert not watch.is_silent('t1', 1500)


def test_a_target_without_open_attempts_is_not_silent():
    watch = AnswerWatch()
    number = watch.record_start('t1', BOUND_MS, 0)
    watch.record_end('t1', number)
    assert not watch.is_silent('t1', 60_000)
    assert not watch.is_silent('t2', 60_000)


def test_a_removed_target_is_dropped_once_no_attempt_is_open():
    watch = AnswerWatch()
    number = watch.record_start('t1', BOUND_MS, 0)
    watch.record_activity('t1', 10)
    watch.retain(set())
    assert watch.has_answered_since('t1', 5)
    watch.record_end('t1', number)
    watch.retain(set())
    assert not watch.has_answered_since('t1', 5)


def test_attempts_on_a_path_that_is_down_show_nothing_about_the_target():
    watch = AnswerWatch()
    number = watch.record_start('t1', BOUND_MS, 1000)
    watch.release('t1')
    assert not watch.is_silent('t1', 5000)
    watch.record_start('t1', BOUND_MS, 5000)
    watch.record_end('t1', number)
    assert watch.is_silent('t1', 5400)
