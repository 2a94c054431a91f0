import msgspec

from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.mesh.usage_record import (
    UsageRecord,
    encode_record,
    make_record_name,
)
from cicadahoist.outside.store import Stored
from cicadahoist.protocol.usage_figures import Figure, SourceTotals, UsageTotal
from cicadahoist.protocol.usage_window import figure_name


def put_object(store, name, payload):
    store.object_by_name[name] = Stored(name, 1, payload)


def store_usage_record(store, window, source, **totals):
    counted = SourceTotals(
        source=source,
        window=window,
        by_workspace={
            workspace: UsageTotal(*total) for workspace, total in totals.items()
        },
    )
    put_object(
        store,
        make_record_name(window, source),
        encode_record(UsageRecord(totals=counted)),
    )


def test_unsealed_window_shows_the_sum_of_all_entries(operator):
    store_usage_record(operator.store, 10, 'e1/aa', tayside=(5, 2, 1))
    store_usage_record(
        operator.store, 10, 'e2/bb', tayside=(7, 3, 1), pilbara=(1, 1, 1)
    )
    rows = operator.read_json('usage')
    assert [row['workspace'] for row in rows] == ['pilbara', 'tayside']
    assert rows[1] == {
        'window': 10,
        'begins': '1970-01-01T00:10:00Z',
        'workspace': 'tayside',
        'state': 'counting',
        'prompt_tokens': 12,
        'output_tokens': 5,
        'requests': 2,
    }


def test_sealed_window_shows_its_figure_and_adjustments(operator):
    store_usage_record(operator.store, 10, 'e1/aa', tayside=(5, 2, 1))
    figure = Figure(
        window=10,
        by_workspace={'tayside': UsageTotal(4, 2, 1)},
        adjustments={'tayside': UsageTotal(9, 9, 3)},
    )
    put_object(operator.store, figure_name(0, 10), msgspec.json.encode(figure))
    rows = operator.read_json('usage --workspace tayside')
    assert [(row['state'], row['prompt_tokens']) for row in rows] == [
        ('sealed', 4),
        ('adjustment', 9),
    ]


def test_usage_lists_the_latest_windows_first(operator):
    for window in (9, 10, 11):
        store_usage_record(
            operator.store, window, 'e1/aa', tayside=(window, 0, 1)
        )
    rows = operator.read_json('usage --windows 2')
    assert [row['window'] for row in rows] == [11, 10]


def test_undecodable_usage_is_an_error(operator):
    put_object(operator.store, make_record_name(3, 'e1/aa'), b'{')
    assert operator.run('usage').exit_code == ExitCode.error
