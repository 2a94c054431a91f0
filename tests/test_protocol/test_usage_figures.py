from cicadahoist.protocol.usage_figures import (
    SourceTotals,
    UsageTotal,
    compose_figure,
)


def totals(source, window, requests):
    count = UsageTotal(10 * requests, 5 * requests, requests)
    return SourceTotals(source=source, window=window, by_workspace={'w': count})


def test_late_counts_become_adjustments_once():
    first = compose_figure(1, [totals('e1', 1, 3)], None)
    assert first.by_workspace['w'].requests == 3
    late = [totals('e1', 1, 4), totals('e1', 2, 1)]
    second = compose_figure(2, late, first)
    assert second.by_workspace['w'].requests == 1
    assert second.adjustments['w'] == UsageTotal(10, 5, 1)
    third = compose_figure(3, late, second)
    assert third.adjustments == {}


def test_figure_leaves_out_windows_to_come():
    figure = compose_figure(1, [totals('e1', 2, 9)], None)
    assert figure.by_workspace == {}
    assert figure.counted == {}
