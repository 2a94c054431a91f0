from cicadahoist.reasons import Refusal, RelayRefusal, Retry


def test_no_reason_is_an_alias_of_another():
    """Guard against reasons with equal texts, which Enum would merge."""
    assert len(set(Refusal)) == len(Refusal.__members__)
    assert len(set(Retry)) == len(Retry.__members__)
    assert len(set(RelayRefusal)) == len(RelayRefusal.__members__)
    assert Refusal.no_target is not Refusal.not_ready


def test_not_run_is_claimed_only_where_it_can_be_true():
    """Guard against callers that repeat a request which may have run."""
    not_run_reasons = {
        reason.name for reason in Refusal if reason.outcome.value == 'not-run'
    }
    assert not_run_reasons.isdisjoint(
        {
            'key_withdrawn_midway',
            'claim_in_progress',
            'claim_outcome_unknown',
            'target_lost',
            'target_failed',
            'timed_out',
        }
    )
