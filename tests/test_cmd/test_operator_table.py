import msgspec
import pytest

from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.outside.tablestore import RowChange, TableStore
from cicadahoist.table import Rule


def test_set_creates_and_changes_a_row(deployed):
    deployed.run_checked('table set tayside ledger weight=3 deadline_ms=9000')
    deployed.run_checked('table set tayside ledger weight=4 stale=refuse')
    row = deployed.read_json('table show')[0]
    assert row['weight'] == 4
    assert row['deadline_ms'] == 9000
    assert row['stale'] == 'refuse'


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        ('table set tayside ledger weigth=3', ExitCode.rejected),
        ('table set tayside ledger weight=many', ExitCode.rejected),
        ('table set tayside ledger weight=0', ExitCode.rejected),
        ('table set tayside ledger priority=-1', ExitCode.rejected),
        ('table set tayside ledger revision=7', ExitCode.rejected),
        ('table set tayside other weight=3', ExitCode.not_found),
        ('table set nobody ledger weight=3', ExitCode.not_found),
    ],
)
def test_invalid_rows_are_not_saved(deployed, line, code):
    assert deployed.run(line).exit_code == code
    assert deployed.read_json('table show') == []


def test_save_with_an_old_revision_conflicts_and_shows_both_rows(deployed):
    deployed.run_checked('table set tayside ledger weight=3')
    revision = deployed.read_json('table show')[0]['revision']
    deployed.run_checked('table set tayside ledger weight=44')
    conflict = deployed.run(
        f'table set tayside ledger weight=55 --revision {revision}'
    )
    assert conflict.exit_code == ExitCode.conflict
    assert 'stored: ' in conflict.stderr
    assert '44' in conflict.stderr
    assert 'yours: ' in conflict.stderr
    assert '55' in conflict.stderr
    assert deployed.read_json('table show')[0]['weight'] == 44


def test_save_conflicts_if_another_is_committed_after_the_read(deployed):
    # The other save is committed just before this one writes the head of the
    # table; it must not be overwritten.
    deployed.run_checked('table set tayside ledger weight=3')
    own_row = deployed.read_json('table show')[0]
    other_row = msgspec.convert({**own_row, 'weight': 44}, Rule)

    async def save_other_row(name):
        if name == 'table/head':
            deployed.store.before_write = None
            other_store = TableStore(deployed.store)
            await other_store.commit([RowChange(row=other_row)])

    deployed.store.before_write = save_other_row
    conflict = deployed.run('table set tayside ledger weight=55')
    assert conflict.exit_code == ExitCode.conflict
    assert deployed.read_json('table show')[0]['weight'] == 44
