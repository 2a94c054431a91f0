"""Tests of slots derived from journal, platform and table."""

import pytest

from cicadahoist.control.target_slots import Market, SlotPhase, SlotReader
from cicadahoist.outside.platform_messages import (
    RunningTarget,
    TargetOrderState,
)
from cicadahoist.protocol.records import JournalEntry
from cicadahoist.table import Target

RUNNING = RunningTarget(
    name='t', zone='a', pool='p', url='u', price=1, reclaimable=True
)


def entry(slot: str, seq: int, kind: str = 'buy', *, settled: bool = True):
    argument = 'reclaimable' if kind == 'buy' else 't'
    return JournalEntry(
        target=slot,
        epoch=1,
        seq=seq,
        kind=kind,
        argument=argument,
        settled=settled,
    )


def market(*, running: bool, **state_by_seq) -> Market:
    states = [
        TargetOrderState(token=f'a.1.{seq[1:]}', state=state, target='t')
        for seq, state in state_by_seq.items()
    ]
    return Market(
        zone='a',
        state_by_token={state.token: state for state in states},
        running_by_name={'t': RUNNING} if running else {},
    )


def row(seq: int) -> Target:
    return Target(name=f't.1.{seq}', pool='p', url='u', zone='a', ordered=True)


def reader(entries, shown, rows=()) -> SlotReader:
    journal = {each.target: each for each in entries}
    return SlotReader(journal, shown, rows)


@pytest.mark.parametrize(
    ('order', 'shown', 'rows', 'phase'),
    [
        (entry('p/0', 1, settled=False), {}, [], 'ordering'),
        (entry('p/0', 1), {}, [], 'free'),
        (entry('p/0', 1), {'s1': 'unavailable'}, [], 'free'),
        (entry('p/0', 1), {'s1': 'accepted'}, [], 'arriving'),
        (entry('p/0', 1), {'s1': 'done', 'running': True}, [], 'running'),
        (entry('p/0', 1), {'s1': 'done'}, [row(1)], 'gone'),
        (entry('p/0', 1), {'s1': 'done'}, [], 'free'),
        (entry('p/0', 2, 'release', settled=False), {}, [], 'releasing'),
        (entry('p/0', 2, 'release'), {}, [], 'free'),
        (entry('p/0', 2, 'release'), {}, [row(1)], 'gone'),
        (entry('p/0', 2, 'release'), {'running': True}, [row(1)], 'running'),
    ],
)
def test_phase_of_a_slot(order, shown, rows, phase):
    seen = market(**{'running': False, **shown})
    slots = reader([order], seen, rows).build_slots()
    assert slots['p/0'].phase is SlotPhase(phase)


def test_row_of_an_earlier_purchase_of_a_target_is_not_current():
    seen = market(running=True, s1='done', s2='done')
    slots = reader([entry('p/0', 1), entry('p/1', 2)], seen, [row(1)])
    assert not slots.is_current(row(1))
    assert slots.is_current(row(2))
    by_name = slots.build_slots()
    assert by_name['p/0'].phase is SlotPhase.gone
    assert by_name['p/1'].phase is SlotPhase.running


def test_row_of_a_running_target_is_current_while_it_is_released():
    seen = market(running=True, s1='done')
    order = entry('p/0', 2, 'release', settled=False)
    assert reader([order], seen, [row(1)]).is_current(row(1))
    gone = market(running=False, s1='done')
    assert not reader([order], gone, [row(1)]).is_current(row(1))
