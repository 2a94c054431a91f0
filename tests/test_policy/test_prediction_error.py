"""Pattern: instances behind slow links, whose prompts arrive late."""

from cicadahoist.policy.prediction_error import MOST_MS, PredictionError


def learn(error, predicted_ms, took_ms, times=60):
    for _ in range(times):
        error.observe(predicted_ms + error.mean_ms, took_ms)


def test_what_is_not_modelled_is_learnt():
    error = PredictionError()
    learn(error, 55, 115)
    assert 58 < error.mean_ms <= 60


def test_it_falls_again_when_the_cause_is_gone():
    error = PredictionError()
    learn(error, 55, 215)
    learn(error, 55, 60)
    assert error.mean_ms < 8


def test_predictions_are_never_made_shorter():
    error = PredictionError()
    learn(error, 200, 50)
    assert error.mean_ms == 0


def test_a_single_failure_changes_little():
    error = PredictionError()
    learn(error, 55, 60)
    error.observe(60, 15_000)
    assert error.mean_ms < 5 + 0.11 * MOST_MS
