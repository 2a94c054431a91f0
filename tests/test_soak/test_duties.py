"""
The soak reports two instances that carry out the duties (ONE).

Calls that the rule excuses must not count, or a sound program would break it.
"""

import pytest

from soak.duties import LEASE_MS, THAW_MS
from soak.promises import CONTACT_MS, PromiseChecker


class DutyCase:
    """Calls of instances on a manual clock."""

    def __init__(self):
        self.now_ms = 100_000
        self.promises = PromiseChecker(lambda: self.now_ms, checks_times=False)
        self.duties = self.promises.duties

    def order(self, *calls, later_ms=0, subject='t1'):
        """Let holders send orders with their tokens."""
        for holder, token in calls:
            self.now_ms += later_ms
            self.duties.check_order(holder, token, subject)

    @property
    def breach_count(self):
        rules = [entry.split()[1] for entry in self.promises.breaches]
        assert set(rules) <= {'ONE:'}
        return len(rules)


@pytest.fixture
def case():
    return DutyCase()


def test_a_takeover_is_no_breach(case):
    case.order(('i1', 1), ('i1', 1), ('i2', 2), ('i2', 2))
    case.order(('i3', 3), ('i1', 4), later_ms=LEASE_MS + 1)
    assert not case.breach_count


def test_subjects_have_tokens_of_their_own(case):
    case.duties.check_scaling('i1', 2, 'app', 'zone-a')
    case.duties.check_scaling('i2', 1, 'app', 'zone-b')
    case.order(('i2', 2), subject='t2')
    assert not case.breach_count


# Guards against a judge that excuses two holders of one token.
@pytest.mark.parametrize('state', ['calm', 'thawed', 'disrupted'])
def test_one_token_of_two_holders_is_a_breach(case, state):
    case.order(('i1', 3), ('i3', 4))
    if state == 'thawed':
        case.duties.record_heal('i2')
    elif state == 'disrupted':
        case.duties.begin_disruption()
    case.order(('i2', 4))
    assert case.breach_count == 1


def test_a_lower_token_is_a_breach(case):
    case.order(('i1', 4), ('i2', 3))
    assert case.breach_count == 1


@pytest.mark.parametrize('healed', ['i2', 't1'])
@pytest.mark.parametrize('later_ms', [THAW_MS, THAW_MS + 1])
def test_a_lower_token_just_after_a_thaw_is_no_breach(case, healed, later_ms):
    case.order(('i1', 4))
    case.duties.record_heal(healed)
    case.order(('i2', 3), later_ms=later_ms)
    assert case.breach_count == (later_ms > THAW_MS)


@pytest.mark.parametrize('later_ms', [LEASE_MS // 2, LEASE_MS // 2 + 1])
def test_holders_that_take_turns_within_a_lease_are_a_breach(case, later_ms):
    case.order(('i1', 1), ('i2', 2), ('i1', 3), later_ms=later_ms)
    assert case.breach_count == (2 * later_ms <= LEASE_MS)


@pytest.mark.parametrize('later_ms', [CONTACT_MS - 1, CONTACT_MS])
def test_turns_in_a_disruption_or_just_after_it_are_no_breach(case, later_ms):
    case.duties.begin_disruption()
    case.order(('i1', 1), ('i2', 2), ('i1', 3))
    case.duties.end_disruption()
    case.now_ms += later_ms
    case.order(('i3', 4), ('i1', 5), ('i3', 6))
    assert case.breach_count == (later_ms >= CONTACT_MS)
