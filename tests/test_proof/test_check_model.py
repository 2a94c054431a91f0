import pytest

from proof.check_model import find_counterexample, list_guards
from proof.kripke import StateSpace
from proof.models.claim import ClaimModel
from proof.models.order import OrderModel
from proof.models.revision import RevisionModel

# Without these guards the search takes the whole state space, which is slow;
# `make check-model BROKEN=all` covers them.
SLOW_GUARDS = {
    'lease.step_down_due',
    'lease.version_unchanged',
    'lease.answer_current',
    'usage_window.figure_absent',
}


@pytest.mark.parametrize(
    'model',
    [OrderModel(), OrderModel(fencing=True), ClaimModel(), RevisionModel()],
    ids=lambda model: model.name,
)
def test_properties_hold(model):
    results = StateSpace(model).check(model.properties)
    assert [result.meaning for result in results if not result.holds] == []


@pytest.mark.parametrize(
    'guard', [name for name in list_guards() if name not in SLOW_GUARDS]
)
def test_counterexample_without_a_guard(guard):
    _, broken = find_counterexample(guard)
    assert broken is not None
    assert broken.trace
