from random import Random

import pytest

from cicadahoist.cmd.operator.exits import Exit
from cicadahoist.errors import StoreUnavailableError
from cicadahoist.table import HEAD_NAME

ROUNDS = 20


def lose_answers(store, share, rng, *, then_away=False):
    def lose(name):
        if name == HEAD_NAME and rng.random() < share:
            store.is_away = then_away
            raise StoreUnavailableError('answer lost', remedy='wait')

    store.after_write = lose


def test_save_whose_answer_is_lost_counts_once(deployed):
    before = deployed.rows('status')['revision']
    lose_answers(deployed.store, 1, Random(1))
    done = deployed.done('table set tayside ledger weight=3')
    assert f'in revision {before + 1}' in done.stderr
    assert deployed.rows('status')['revision'] == before + 1


def test_unsettled_save_says_so_and_may_be_repeated(deployed):
    lose_answers(deployed.store, 1, Random(1), then_away=True)
    result = deployed.run('table set tayside ledger weight=3')
    assert result.exit_code == Exit.store_unavailable
    assert 'Traceback' not in result.output
    deployed.store.is_away = False
    deployed.store.after_write = None
    deployed.done('table set tayside ledger weight=3')
    assert [row['weight'] for row in deployed.rows('table show')] == [3]


@pytest.mark.parametrize('line', ['table show', 'status', 'usage', 'key list'])
def test_away_store_has_its_exit_code(deployed, line):
    deployed.store.is_away = True
    assert deployed.run(line).exit_code == Exit.store_unavailable


@pytest.mark.parametrize('seed', range(3))
def test_saves_of_racing_operators_are_all_kept_or_refused(deployed, seed):
    rng = Random(seed)
    deployed.done('table set tayside ledger weight=1')
    lose_answers(deployed.store, 0.3, rng)
    saved = [1]
    clashes = 0
    for weight in range(2, ROUNDS):
        seen = deployed.rows('table show')[0]
        if rng.random() < 0.5:
            other = 1000 + weight
            deployed.done(f'table set tayside ledger weight={other}')
            saved.append(other)
        result = deployed.run(
            f'table set tayside ledger weight={weight}'
            f' --revision {seen["revision"]}'
        )
        if result.exit_code == Exit.done:
            saved.append(weight)
        else:
            assert result.exit_code == Exit.conflict
            clashes += 1
        assert deployed.rows('table show')[0]['weight'] == saved[-1]
    assert clashes and len(saved) > 2
    assert deployed.rows('table show')[0]['revision'] == 3 + len(saved)
