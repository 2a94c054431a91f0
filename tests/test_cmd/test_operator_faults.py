from random import Random

import pytest

from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.errors import StoreUnavailableError
from cicadahoist.table import HEAD_NAME

ROUNDS = 20


def lose_responses(store, share, rng, *, stays_down=False):
    def lose_response(name):
        if name == HEAD_NAME and rng.random() < share:
            store.is_down = stays_down
            raise StoreUnavailableError('response lost', remedy='wait')

    store.after_write = lose_response


def test_save_with_lost_response_is_committed_once(deployed):
    # The store commits the write but its response is lost: a plain retry would
    # conflict with the own row or create a second revision.
    before = deployed.read_json('status')['revision']
    lose_responses(deployed.store, 1, Random(1))
    done = deployed.run_checked('table set tayside ledger weight=3')
    assert f'in revision {before + 1}' in done.stderr
    assert deployed.read_json('status')['revision'] == before + 1


def test_save_with_unknown_outcome_reports_it_and_can_be_repeated(deployed):
    lose_responses(deployed.store, 1, Random(1), stays_down=True)
    result = deployed.run('table set tayside ledger weight=3')
    assert result.exit_code == ExitCode.store_unavailable
    assert 'Traceback' not in result.output
    deployed.store.is_down = False
    deployed.store.after_write = None
    deployed.run_checked('table set tayside ledger weight=3')
    assert [row['weight'] for row in deployed.read_json('table show')] == [3]


@pytest.mark.parametrize('line', ['table show', 'status', 'usage', 'key list'])
def test_unavailable_store_has_its_own_exit_code(deployed, line):
    deployed.store.is_down = True
    assert deployed.run(line).exit_code == ExitCode.store_unavailable


@pytest.mark.parametrize('seed', range(3))
def test_concurrent_saves_are_either_committed_or_rejected(deployed, seed):
    # With lost responses and a second operator, a save must neither overwrite
    # the row of the other one nor report a conflict with itself.
    rng = Random(seed)
    deployed.run_checked('table set tayside ledger weight=1')
    lose_responses(deployed.store, 0.3, rng)
    saved = [1]
    conflict_count = 0
    for weight in range(2, ROUNDS):
        seen = deployed.read_json('table show')[0]
        if rng.random() < 0.5:
            other = 1000 + weight
            deployed.run_checked(f'table set tayside ledger weight={other}')
            saved.append(other)
        result = deployed.run(
            f'table set tayside ledger weight={weight}'
            f' --revision {seen["revision"]}'
        )
        if result.exit_code == ExitCode.done:
            saved.append(weight)
        else:
            assert result.exit_code == ExitCode.conflict
            conflict_count += 1
        assert deployed.read_json('table show')[0]['weight'] == saved[-1]
    assert conflict_count and len(saved) > 2
    assert deployed.read_json('table show')[0]['revision'] == 3 + len(saved)
