import pytest

from proof import scenarios
from proof.kits import KERNEL_TIMER
from proof.matrix import (
    RunSettings,
    find_failure,
    find_plans,
    list_fault_sets,
    list_steps,
    run_cell,
)
from proof.scenario import SCENARIOS

assert scenarios.__all__

SEEDS = (0, 3)
# Only in these scenarios does the seed decide which process a fault affects.
SCENARIOS_WITH_TWO_VICTIMS = ('drain', 'usage_window')


def find_plans_without_faults(name):
    """Return empty plans for the steps that processes take without faults."""
    reached = RunSettings(name).run(SEEDS[0], ()).reached_steps
    return {step: () for step in list_steps(name) if step in reached}


@pytest.mark.parametrize('name', SCENARIOS.names())
def test_single_faults_at_common_steps(name):
    settings = RunSettings(name)
    plan_by_step = find_plans_without_faults(name)
    seeds = SEEDS if name in SCENARIOS_WITH_TWO_VICTIMS else SEEDS[:1]
    assert plan_by_step
    for step, plan in plan_by_step.items():
        for faults in list_fault_sets(pairs=False):
            cell = run_cell(settings, step, plan, faults, seeds)
            assert cell.state in {'passed', 'cannot occur'}, cell


@pytest.mark.parametrize(
    ('name', 'guard'),
    [
        ('authority', KERNEL_TIMER),
        ('authority', 'lease.takeover_due'),
        ('authority', 'order.entry_written'),
        ('authority', 'order.order_expired'),
        ('claim', 'claim.nonce_own'),
        ('drain', 'drain.all_acked'),
        ('drain', 'drain.target_empty'),
        ('peer', 'peer.timed_out'),
        ('revision', 'revision.newer_than_in_force'),
        ('usage_window', 'usage_window.entries_closed'),
    ],
)
def test_matrix_fails_without_a_guard(name, guard):
    settings = RunSettings(name, (guard,))
    assert find_failure(settings, find_plans_without_faults(name), SEEDS)


def test_step_that_is_never_reached_is_reported():
    settings = RunSettings('revision')
    step = list_steps('revision')[0]._replace(to='nowhere')
    cell = run_cell(settings, step, None, ('killed',), SEEDS)
    assert cell.state == 'not reached'


def test_rare_steps_are_found_by_search():
    assert set(find_plans(RunSettings('claim'))) == set(list_steps('claim'))
