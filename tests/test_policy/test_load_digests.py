"""
Choice of collectors, and loads that count once.

They guard against collectors on small instances, against a silent collector
that is kept or tried all the time, and against loads counted twice.
"""

from cicadahoist.policy.load_digests.collector_choice import CollectorChoice
from cicadahoist.policy.load_digests.collector_rank import (
    CollectorCandidate,
    rank_candidates,
)
from cicadahoist.policy.load_digests.contributions import (
    Contribution,
    ContributionTable,
    MemberMark,
)
from cicadahoist.policy.load_digests.load_sum import subtract_load
from cicadahoist.policy.load_digests.own_reports import OwnReports
from cicadahoist.policy.load_digests.pace import DigestPace, ReportPace
from cicadahoist.policy.peer_loads import InFlightLoad


def is_alive(name, now_ms):
    return True


def create_choice():
    choice = CollectorChoice('c')
    choice.set_ranked(['a', 'b', 'c'])
    return choice


def contribute(table, member, tokens, stamp_ms, now_ms, *, is_direct=True):
    mark = MemberMark(0, stamp_ms - now_ms)
    return table.apply(
        Contribution(member, mark, {'e': InFlightLoad(tokens)}),
        now_ms,
        now_ms,
        is_direct=is_direct,
    )


def test_small_instances_come_last():
    candidates = [
        CollectorCandidate('small', 10, 0.5),
        CollectorCandidate('fast', 1000, 2),
        CollectorCandidate('faster', 1000, 4),
        CollectorCandidate('unlimited'),
    ]
    ranked = ['unlimited', 'faster', 'fast', 'small']
    assert rank_candidates(candidates) == ranked
    assert rank_candidates(reversed(candidates)) == ranked


def test_a_silent_collector_is_replaced_and_tried_less_and_less():
    choice = create_choice()
    trials = 0
    was_tried = False
    for now_ms in range(0, 60_000, 20):
        choice.record_answer('b', now_ms)
        chosen = choice.choose(is_alive, now_ms)
        assert chosen == ('a' if now_ms <= 500 else 'b')
        is_tried = 'a' in choice.list_trials(now_ms)
        trials += is_tried and not was_tried
        was_tried = is_tried
    # After 2, 4, 8 and 16 s, and each 16 s from then on.
    assert trials in {4, 5}


def test_a_collector_that_answers_again_is_used_again():
    choice = create_choice()
    choice.choose(is_alive, 0)
    assert choice.choose(is_alive, 501) == 'b'
    choice.record_answer('a', 600)
    assert choice.choose(is_alive, 600) == 'b'
    choice.list_trials(2600)
    choice.record_answer('a', 2610)
    assert choice.choose(is_alive, 2610) == 'a'


def test_an_instance_without_others_collects_itself():
    choice = create_choice()
    assert choice.choose(lambda name, now_ms: False, 0) == 'c'


def test_the_newest_report_counts_wherever_it_comes_from():
    table = ContributionTable()
    contribute(table, 'i1', 10, 1000, 1000)
    contribute(table, 'i1', 30, 1100, 1150, is_direct=False)
    contribute(table, 'i1', 20, 1050, 1160)
    contribute(table, 'i2', 5, 1000, 1160, is_direct=False)
    assert table.list_loads() == {'e': InFlightLoad(35)}
    assert table.get_stamp_ms('i1') == 1100
    assert table.list_members(1200) == ['i1']
    # A process with another clock replaces a silent one.
    contribute(table, 'i1', 1, 700, 1900)
    assert table.list_loads() == {'e': InFlightLoad(6)}
    assert table.drop_expired(2500)
    assert table.list_loads() == {'e': InFlightLoad(1)}


def test_figures_that_cannot_be_right_do_not_count():
    table = ContributionTable()
    contribute(table, 'i1', 1 << 62, 1000, 1000)
    contribute(table, 'i1', 1, 1 << 63, 1000)
    assert not table.list_loads()


def test_the_own_report_in_a_sum_is_subtracted():
    reports = OwnReports()
    reports.add(7, {'e': InFlightLoad(10, 1, 100)})
    total = {'e': InFlightLoad(30, 1, 300), 'f': InFlightLoad(1)}
    rest = subtract_load(total, reports.get(7))
    assert rest == {'e': InFlightLoad(20, 0, 200), 'f': InFlightLoad(1)}
    assert subtract_load(total, reports.get(8)) == total


def test_reports_are_sent_shortly_before_the_next_digest():
    pace = ReportPace(spread=0)
    pace.record_sent(0)
    pace.record_digest(20)
    assert not pace.is_due(is_changed=True, now_ms=99)
    assert pace.is_due(is_changed=True, now_ms=100)
    assert not pace.is_due(is_changed=False, now_ms=399)
    assert pace.is_due(is_changed=False, now_ms=400)


def test_digests_on_a_slow_link_wait_until_they_must_be_repeated():
    pace = DigestPace.from_mbps(10)
    pace.record_sent(50_000, 0)
    pace.record_change(10)
    assert pace.compute_wait_ms(10) == 230
