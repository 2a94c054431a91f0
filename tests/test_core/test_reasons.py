from cicadahoist.reasons import Refusal, Retry


def test_no_reason_is_an_alias_of_another():
    assert len(set(Refusal)) == len(Refusal.__members__)
    assert len(set(Retry)) == len(Retry.__members__)
    assert Refusal.no_target is not Refusal.not_ready


def test_not_run_is_claimed_only_where_it_can_be_true():
    claimed = {
        reason.name for reason in Refusal if reason.outcome.value == 'not-run'
    }
    assert claimed.isdisjoint(
        {
            'key_withdrawn_midway',
            'claim_in_progress',
            'claim_outcome_unknown',
            'target_lost',
            'target_failed',
            'timed_out',
        }
    )
