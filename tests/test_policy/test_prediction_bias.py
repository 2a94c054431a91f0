"""Instances behind slow links, to which prompts arrive late."""

from cicadahoist.policy.prediction_bias import STEP_MS, PredictionBias


def observe_times(bias, predicted_ms, took_ms, count=80):
    for _ in range(count):
        bias.observe(predicted_ms + bias.median_ms, took_ms)


def test_constant_delay_is_learned():
    bias = PredictionBias()
    observe_times(bias, 55, 115)
    assert abs(bias.median_ms - 60) <= STEP_MS


def test_bias_falls_when_the_delay_ends():
    bias = PredictionBias()
    observe_times(bias, 55, 215)
    observe_times(bias, 55, 60)
    assert bias.median_ms <= 5 + STEP_MS


def test_bias_is_never_negative():
    bias = PredictionBias()
    observe_times(bias, 200, 50)
    assert bias.median_ms == 0


def test_bias_is_robust_to_outliers():
    bias = PredictionBias()
    for number in range(200):
        took_ms = 15_000 if number % 5 == 0 else 60
        bias.observe(55 + bias.median_ms, took_ms)
    assert bias.median_ms <= 5 + 2 * STEP_MS
