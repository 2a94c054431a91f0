"""
Test commits of the operators' table under faults and concurrency.

Lost answers, delayed writes and other operators must neither lose a row nor
commit it twice.
"""

import pytest
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreUnavailableError, TableConflictError
from cicadahoist.outside.tablestore import (
    MAX_RETIRED_SHARDS,
    RowChange,
    TableStore,
    compute_shard_number,
)
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.memory import MemoryStore
from cicadahoist.standin.objects import ObjectModel
from cicadahoist.table import Rule, Workspace
from tests.coroutines import Pending, result_of

ROW = Workspace(name='tayside')


@pytest.fixture
def clock():
    return Clock.manual()


@pytest.fixture
def model():
    return ObjectModel(seed=3)


@pytest.fixture
def operators(model, clock):
    """Return the table stores of two operators on one store."""
    return [TableStore(MemoryStore(model, clock)) for _ in range(2)]


def save(operator, *rows):
    return operator.commit([RowChange(row=row) for row in rows])


def load_table(operator):
    head, _ = result_of(operator.read_head())
    return result_of(operator.load(head))


def test_one_commit_saves_rows_in_several_shards(operators):
    rows = [Workspace(name=f'workspace-{number}') for number in range(20)]
    assert len({compute_shard_number(row) for row in rows}) > 1
    assert result_of(save(operators[0], *rows)) == 1
    table = load_table(operators[1])
    assert table.revision == 1
    assert len(table.workspaces_by_name) == 20
    assert {row.revision for row in table.rows()} == {1}


def test_conflict_shows_both_rows_and_overwrites_nothing(operators):
    rule = Rule(workspace='tayside', route='ledger')
    result_of(save(operators[0], replace(rule, weight=2)))
    with pytest.raises(TableConflictError) as caught:
        result_of(save(operators[1], replace(rule, weight=5)))
    assert 'weight=2' in str(caught.value)
    assert 'weight=5' in str(caught.value)
    assert (
        load_table(operators[1]).rules_by_pair['tayside', 'ledger'].weight == 2
    )


def test_saving_a_removed_row_conflicts(operators):
    row = Workspace(name='tayside')
    result_of(save(operators[0], row))
    stored = load_table(operators[0]).workspaces_by_name['tayside']
    result_of(operators[0].commit([RowChange(row=stored, is_removal=True)]))
    with pytest.raises(TableConflictError):
        result_of(save(operators[1], replace(stored, enabled=False)))
    assert load_table(operators[1]).rows() == []


class HookedStore(MemoryStore):
    """Sets a fault for the first write to a name with a given ending."""

    def __init__(self, model, clock, name_ending, fault, **options):
        super().__init__(model, clock, **options)
        self.name_ending = name_ending
        self.fault = fault
        self.following_fault = Fault(kind='none')

    async def write(self, name, payload, expected):
        if self.fault is None or not name.endswith(self.name_ending):
            return await super().write(name, payload, expected)
        self.model.set_fault(self.fault)
        self.fault = None
        writing = Deferred.fromCoroutine(super().write(name, payload, expected))
        self.model.set_fault(self.following_fault)
        return await writing


@pytest.mark.parametrize('name_ending', ['head', ''])
def test_lost_answer_commits_once(operators, model, clock, name_ending):
    result_of(save(operators[1], Workspace(name='before')))
    lose = Fault(kind='lose-answers', count=1)
    operator = TableStore(HookedStore(model, clock, name_ending, lose))
    assert result_of(save(operator, Workspace(name='tayside'))) == 2
    table = load_table(operators[1])
    assert table.revision == 2
    assert sorted(table.workspaces_by_name) == ['before', 'tayside']


@pytest.mark.parametrize('late_ms', [30, 45, 60, 75, 90, 200])
def test_delayed_write_of_the_head_commits_once(
    operators, model, clock, late_ms
):
    late = Fault(kind='slow', delay_ms=late_ms)
    store = HookedStore(model, clock, 'head', late, timeout_ms=20)
    store.following_fault = Fault(kind='slow', delay_ms=15)
    saving = Pending(TableStore(store).commit([RowChange(row=ROW)]))
    for _ in range(100):
        clock.advance(5)
    assert saving.result() == 1
    model.set_fault(Fault(kind='none'))
    assert load_table(operators[0]).revision == 1


def test_concurrent_commits_lose_no_row(operators, model, clock):
    model.set_fault(Fault(kind='slow', delay_ms=5))
    saves = [
        Pending(save(operator, Workspace(name=f'workspace-{number}')))
        for number, operator in enumerate(operators)
    ]
    clock.advance(0)
    for _ in range(40):
        clock.advance(5)
    assert sorted(pending.result() for pending in saves) == [1, 2]
    model.set_fault(Fault(kind='none'))
    assert len(load_table(operators[0]).workspaces_by_name) == 2


def test_concurrent_commits_of_one_row_conflict(operators, model, clock):
    model.set_fault(Fault(kind='slow', delay_ms=5))
    rows = [Workspace(name='tayside', enabled=on) for on in (True, False)]
    saves = [
        Pending(save(operator, row))
        for operator, row in zip(operators, rows, strict=True)
    ]
    for _ in range(40):
        clock.advance(5)
    outcomes = [pending.ended[0] for pending in saves]
    assert 1 in outcomes
    [failure] = [outcome for outcome in outcomes if outcome != 1]
    assert failure.check(TableConflictError)


def test_outage_saves_nothing(operators, model):
    model.set_fault(Fault(kind='outage'))
    with pytest.raises(StoreUnavailableError):
        result_of(save(operators[0], Workspace(name='tayside')))
    model.set_fault(Fault(kind='none'))
    assert load_table(operators[0]).rows() == []


@pytest.mark.parametrize('seed', range(20))
def test_accepted_commits_survive_lost_answers_and_dropped_calls(seed, clock):
    model = ObjectModel(seed)
    operator = TableStore(MemoryStore(model, clock))
    model.set_fault(Fault(kind='lose-answers', share=0.2))
    model.set_fault(Fault(kind='drop-calls', share=0.1))
    model.set_fault(Fault(kind='conflicts', share=0.1))
    accepted = set()
    for number in range(30):
        name = f'workspace-{number}'
        pending = Pending(save(operator, Workspace(name=name)))
        if isinstance(pending.ended[0], int):
            accepted.add(name)
    model.set_fault(Fault(kind='none'))
    table = load_table(TableStore(MemoryStore(model, clock)))
    assert accepted
    assert accepted <= set(table.workspaces_by_name)
    assert table.revision == len(table.workspaces_by_name)


def shard_names(model):
    return set(model.list_versions('table/shards/'))


def test_replaced_shards_are_kept_for_readers_then_removed(operators, model):
    result_of(save(operators[0], ROW))
    old_head, _ = result_of(operators[1].read_head())
    for revision in range(1, MAX_RETIRED_SHARDS + 1):
        result_of(save(operators[0], replace(ROW, revision=revision)))
    assert result_of(operators[1].load(old_head)).revision == 1
    result_of(save(operators[0], replace(ROW, revision=revision + 1)))
    head, _ = result_of(operators[0].read_head())
    assert shard_names(model) == {*head.shards.values(), *head.retired}
    assert not shard_names(model) & set(old_head.shards.values())


def test_commit_that_conflicts_removes_its_shards(operators, model, clock):
    model.set_fault(Fault(kind='slow', delay_ms=5))
    saves = [
        Pending(save(operator, Workspace(name=f'workspace-{number}')))
        for number, operator in enumerate(operators)
    ]
    for _ in range(60):
        clock.advance(5)
    assert all(pending.is_done for pending in saves)
    model.set_fault(Fault(kind='none'))
    head, _ = result_of(operators[0].read_head())
    assert model.calls['remove'] == 1
    assert shard_names(model) == {*head.shards.values(), *head.retired}
