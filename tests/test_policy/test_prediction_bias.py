"""Pattern: instances behind slow links, whose prompts arrive late."""

from cicadahoist.policy.prediction_bias import STEP_MS, PredictionBias


def learn(error, predicted_ms, took_ms, times=80):
    for _ in range(times):
        error.observe(predicted_ms + error.median_ms, took_ms)


def test_what_is_not_modelled_is_learnt():
    error = PredictionBias()
    learn(error, 55, 115)
    assert abs(error.median_ms - 60) <= STEP_MS


def test_it_falls_again_when_the_cause_is_gone():
    error = PredictionBias()
    learn(error, 55, 215)
    learn(error, 55, 60)
    assert error.median_ms <= 5 + STEP_MS


def test_predictions_are_never_made_shorter():
    error = PredictionBias()
    learn(error, 200, 50)
    assert error.median_ms == 0


def test_a_few_very_late_answers_change_little():
    error = PredictionBias()
    for number in range(200):
        took_ms = 15_000 if number % 5 == 0 else 60
        error.observe(55 + error.median_ms, took_ms)
    assert error.median_ms <= 5 + 2 * STEP_MS
