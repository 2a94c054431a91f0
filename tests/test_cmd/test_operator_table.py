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
def test_wrong_rows_are_not_saved(deployed, line, code):
    assert deployed.run(line).exit_code == code
    assert deployed.read_json('table show') == []


def test_old_revision_clashes_and_shows_both_rows(deployed):
    deployed.run_checked('table set tayside ledger weight=3')
    revision = deployed.read_json('table show')[0]['revision']
    deployed.run_checked('table set tayside ledger weight=44')
    clash = deployed.run(
        f'table set tayside ledger weight=55 --revision {revision}'
    )
    assert clash.exit_code == ExitCode.conflict
    assert 'stored: ' in clash.stderr
    assert '44' in clash.stderr
    assert 'yours: ' in clash.stderr
    assert '55' in clash.stderr
    assert deployed.read_json('table show')[0]['weight'] == 44


def test_operator_who_saves_between_read_and_commit_wins(deployed):
    deployed.run_checked('table set tayside ledger weight=3')
    mine = deployed.read_json('table show')[0]
    theirs = msgspec.convert({**mine, 'weight': 44}, Rule)

    async def save_theirs(name):
        if name == 'table/head':
            deployed.store.before_write = None
            other = TableStore(deployed.store)
            await other.commit([RowChange(row=theirs)])

    deployed.store.before_write = save_theirs
    clash = deployed.run('table set tayside ledger weight=55')
    assert clash.exit_code == ExitCode.conflict
    assert deployed.read_json('table show')[0]['weight'] == 44
