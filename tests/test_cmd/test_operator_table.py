import msgspec
import pytest

from cicadahoist.cmd.operator.exits import Exit
from cicadahoist.outside.tablestore import RowChange, TableStore
from cicadahoist.table import Rule


def test_set_creates_and_changes_a_row(deployed):
    deployed.done('table set tayside ledger weight=3 deadline_ms=9000')
    deployed.done('table set tayside ledger weight=4 stale=refuse')
    row = deployed.rows('table show')[0]
    assert row['weight'] == 4
    assert row['deadline_ms'] == 9000
    assert row['stale'] == 'refuse'


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        ('table set tayside ledger weigth=3', Exit.rejected),
        ('table set tayside ledger weight=many', Exit.rejected),
        ('table set tayside ledger weight=0', Exit.rejected),
        ('table set tayside ledger priority=-1', Exit.rejected),
        ('table set tayside ledger revision=7', Exit.rejected),
        ('table set tayside other weight=3', Exit.not_found),
        ('table set nobody ledger weight=3', Exit.not_found),
    ],
)
def test_wrong_rows_are_not_saved(deployed, line, code):
    assert deployed.run(line).exit_code == code
    assert deployed.rows('table show') == []


def test_old_revision_clashes_and_shows_both_rows(deployed):
    deployed.done('table set tayside ledger weight=3')
    revision = deployed.rows('table show')[0]['revision']
    deployed.done('table set tayside ledger weight=44')
    clash = deployed.run(
        f'table set tayside ledger weight=55 --revision {revision}'
    )
    assert clash.exit_code == Exit.conflict
    assert 'stored: ' in clash.stderr
    assert '44' in clash.stderr
    assert 'yours: ' in clash.stderr
    assert '55' in clash.stderr
    assert deployed.rows('table show')[0]['weight'] == 44


def test_operator_who_saves_between_read_and_commit_wins(deployed):
    deployed.done('table set tayside ledger weight=3')
    mine = deployed.rows('table show')[0]
    theirs = msgspec.convert({**mine, 'weight': 44}, Rule)

    async def save_theirs(name):
        if name == 'table/head':
            deployed.store.before_write = None
            other = TableStore(deployed.store)
            await other.commit([RowChange(row=theirs)])

    deployed.store.before_write = save_theirs
    clash = deployed.run('table set tayside ledger weight=55')
    assert clash.exit_code == Exit.conflict
    assert deployed.rows('table show')[0]['weight'] == 44
