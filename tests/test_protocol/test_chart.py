import pytest

from cicadahoist.errors import ChartError, ConfigError
from cicadahoist.protocol.chart import Chart
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.lease import LEASE_KIT
from cicadahoist.protocol.lease_guards import GUARDS as LEASE_GUARDS
from cicadahoist.protocol.machine import ChartCore, ChartKit, event_name
from cicadahoist.protocol.order_events import OrderUnanswered
from cicadahoist.registry import Registry

TEXT = """
name = "door"
initial = "closed"
events = ["tick"]
outputs = ["ring"]
[summary_by_state]
closed = "Closed."
open = "Open."
[summary_by_guard]
unlocked = "Not locked."
[[transitions]]
source = "closed"
on = "tick"
when = ["unlocked"]
to = "open"
run = ["ring"]
[[transitions]]
source = "open"
on = "tick"
to = "closed"
"""


class Door(ChartCore):
    def __init__(self, kit, locked):
        super().__init__(kit)
        self.locked = locked


def make_kit(text=TEXT):
    guards, outputs = Registry('guard'), Registry('output')
    guards.register('unlocked')(lambda door, event, now_ms: not door.locked)
    outputs.register('ring')(
        lambda door, event, now_ms: door.actions.append('rang')
    )
    return ChartKit(Chart.parse(text), guards, outputs)


def test_behaviour_follows_the_file():
    door = Door(make_kit(), locked=False)
    assert door.handle(Tick(), 0) == ['rang']
    assert door.state == 'open'
    without_output = make_kit(TEXT.replace('run = ["ring"]', ''))
    assert Door(without_output, locked=False).handle(Tick(), 0) == []


def test_guard_decides_and_can_be_removed():
    door = Door(make_kit(), locked=True)
    assert door.handle(Tick(), 0) == []
    assert door.state == 'closed'
    open_door = Door(make_kit().without_guard('unlocked'), locked=True)
    assert open_door.handle(Tick(), 0) == ['rang']


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('initial = "closed"', 'initial = "shut"'),
        ('to = "open"', 'to = "ajar"'),
        ('on = "tick"', 'on = "knock"'),
        ('when = ["unlocked"]', 'when = ["unbolted"]'),
        ('run = ["ring"]', 'run = ["sing"]'),
        ('to = "open"', 'into = "open"'),
        ('name = "door"', 'name = '),
    ],
)
def test_rejects_unknown_names(old, new):
    with pytest.raises(ChartError):
        Chart.parse(TEXT.replace(old, new, 1))


def test_rejects_transition_after_one_without_guards():
    unreachable = '[[transitions]]\nsource = "open"\non = "tick"\nto = "open"\n'
    with pytest.raises(ChartError, match='never reached'):
        Chart.parse(TEXT + unreachable)


def test_rejects_guard_or_output_without_function():
    no_outputs = Registry('output')
    with pytest.raises(ChartError, match='unknown output'):
        ChartKit(LEASE_KIT.chart, LEASE_GUARDS, no_outputs)
    with pytest.raises(ChartError, match='unknown guard'):
        make_kit().without_guard('unbolted')
    with pytest.raises(ConfigError):
        LEASE_GUARDS.get('unbolted')


def test_event_name_is_its_class_in_snake_case():
    assert event_name(OrderUnanswered('t', '1.1')) == 'order_unanswered'
