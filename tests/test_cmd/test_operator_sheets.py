import pytest

from cicadahoist.cmd.operator.exits import Exit


@pytest.fixture
def sheet(deployed, tmp_path):
    """Return the path of an exported sheet with two rows."""
    deployed.done('table set tayside ledger weight=3 deadline_ms=9000')
    deployed.done('table set tayside filing weight=7')
    path = tmp_path / 'rules.csv'
    deployed.done(['table', 'export', str(path)])
    return path


def edit(path, old, new):
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


def test_exported_sheet_is_imported_unchanged(deployed, sheet):
    before = deployed.store.by_name.copy()
    done = deployed.done(['table', 'import', str(sheet)])
    assert 'nothing to save' in done.stderr
    assert deployed.store.by_name == before


def test_whole_sheet_is_saved_in_one_revision(deployed, sheet):
    edit(sheet, 'tayside,ledger,3', 'tayside,ledger,33')
    edit(sheet, 'tayside,filing,7', 'tayside,filing,77')
    deployed.done(['table', 'import', str(sheet)])
    rows = deployed.rows('table show')
    assert [row['weight'] for row in rows] == [77, 33]
    assert rows[0]['revision'] == rows[1]['revision']


def test_one_clash_keeps_the_whole_sheet_out(deployed, sheet):
    deployed.done('table set tayside ledger weight=44')
    edit(sheet, 'tayside,ledger,3', 'tayside,ledger,33')
    edit(sheet, 'tayside,filing,7', 'tayside,filing,77')
    clash = deployed.run(['table', 'import', str(sheet)])
    assert clash.exit_code == Exit.conflict
    assert 'clash on rule/tayside/ledger' in clash.stderr
    assert 'rule/tayside/filing' not in clash.stderr
    assert [row['weight'] for row in deployed.rows('table show')] == [7, 44]


def test_row_that_was_removed_meanwhile_clashes(deployed, sheet):
    deployed.done('table remove tayside ledger')
    clash = deployed.run(['table', 'import', str(sheet)])
    assert clash.exit_code == Exit.conflict
    assert 'stored: (none)' in clash.stderr


def test_absent_rows_go_unless_saved_since(deployed, sheet):
    revision = deployed.rows('table show')[0]['revision']
    deployed.done('workspace create pilbara')
    deployed.done('table set pilbara ledger')
    lines = sheet.read_text().splitlines(keepends=True)
    sheet.write_text(''.join(lines[:2]))
    deployed.done(
        [
            'table',
            'import',
            str(sheet),
            '--remove-absent-at',
            str(revision),
        ]
    )
    pairs = [
        (row['workspace'], row['route']) for row in deployed.rows('table show')
    ]
    assert pairs == [('pilbara', 'ledger'), ('tayside', 'filing')]


def test_diff_names_fields_and_late_saves(deployed, sheet):
    assert deployed.run(['table', 'diff', str(sheet)]).exit_code == 0
    deployed.done('table set tayside ledger weight=44')
    edit(sheet, 'tayside,filing,7', 'tayside,filing,77')
    result = deployed.run(['table', 'diff', str(sheet)])
    assert result.exit_code == Exit.differs
    cells = [line.split() for line in result.stdout.splitlines()]
    assert ['tayside', 'filing', 'weight', '7', '77', 'false'] in cells
    assert ['tayside', 'ledger', 'weight', '44', '3', 'true'] in cells


@pytest.mark.parametrize(
    ('text', 'code', 'said'),
    [
        ('workspace,route,wait\n', Exit.rejected, 'unknown columns: wait'),
        ('workspace,route\n', Exit.rejected, 'missing columns: revision'),
        (
            'workspace,route,revision,weight\ntayside,ledger,0,no\n',
            Exit.rejected,
            'line 2',
        ),
        (
            'workspace,route,revision,weight\ntayside,ledger,0\n',
            Exit.rejected,
            'line 2 has more or fewer cells',
        ),
        (
            'workspace,route,revision\ntayside,ledger,0\ntayside,ledger,0\n',
            Exit.rejected,
            'a second row for tayside on ledger',
        ),
        (
            'workspace,route,revision\nnobody,ledger,0\n',
            Exit.not_found,
            'no workspace nobody',
        ),
    ],
)
def test_wrong_sheet_is_rejected(deployed, tmp_path, text, code, said):
    path = tmp_path / 'rules.csv'
    path.write_text(text)
    result = deployed.run(['table', 'import', str(path)])
    assert result.exit_code == code
    assert said in result.stderr
    assert deployed.rows('table show') == []


def test_absent_sheet_is_rejected(deployed, tmp_path):
    result = deployed.run(['table', 'diff', str(tmp_path / 'none.csv')])
    assert result.exit_code == Exit.rejected
