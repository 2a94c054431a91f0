import pytest

from cicadahoist.cmd.operator.exit_codes import ExitCode


@pytest.fixture
def sheet(deployed, tmp_path):
    """Return the path of an exported sheet with two rows."""
    deployed.run_checked('table set tayside ledger weight=3 deadline_ms=9000')
    deployed.run_checked('table set tayside filing weight=7')
    path = tmp_path / 'rules.csv'
    deployed.run_checked(['table', 'export', str(path)])
    return path


def replace_in_sheet(path, old, new):
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


def test_importing_an_unchanged_sheet_saves_nothing(deployed, sheet):
    before = deployed.store.object_by_name.copy()
    done = deployed.run_checked(['table', 'import', str(sheet)])
    assert 'nothing to save' in done.stderr
    assert deployed.store.object_by_name == before


def test_import_saves_all_rows_in_one_revision(deployed, sheet):
    replace_in_sheet(sheet, 'tayside,ledger,3', 'tayside,ledger,33')
    replace_in_sheet(sheet, 'tayside,filing,7', 'tayside,filing,77')
    deployed.run_checked(['table', 'import', str(sheet)])
    rows = deployed.read_json('table show')
    assert [row['weight'] for row in rows] == [77, 33]
    assert rows[0]['revision'] == rows[1]['revision']


def test_import_saves_nothing_if_one_row_conflicts(deployed, sheet):
    deployed.run_checked('table set tayside ledger weight=44')
    replace_in_sheet(sheet, 'tayside,ledger,3', 'tayside,ledger,33')
    replace_in_sheet(sheet, 'tayside,filing,7', 'tayside,filing,77')
    conflict = deployed.run(['table', 'import', str(sheet)])
    assert conflict.exit_code == ExitCode.conflict
    assert 'clash on rule/tayside/ledger' in conflict.stderr
    assert 'rule/tayside/filing' not in conflict.stderr
    assert [row['weight'] for row in deployed.read_json('table show')] == [
        7,
        44,
    ]


def test_import_of_a_row_removed_since_export_conflicts(deployed, sheet):
    deployed.run_checked('table remove tayside ledger')
    conflict = deployed.run(['table', 'import', str(sheet)])
    assert conflict.exit_code == ExitCode.conflict
    assert 'stored: (none)' in conflict.stderr


def test_import_removes_absent_rows_unless_saved_since(deployed, sheet):
    revision = deployed.read_json('table show')[0]['revision']
    deployed.run_checked('workspace create pilbara')
    deployed.run_checked('table set pilbara ledger')
    lines = sheet.read_text().splitlines(keepends=True)
    sheet.write_text(''.join(lines[:2]))
    deployed.run_checked(
        [
            'table',
            'import',
            str(sheet),
            '--remove-absent-at',
            str(revision),
        ]
    )
    pairs = [
        (row['workspace'], row['route'])
        for row in deployed.read_json('table show')
    ]
    assert pairs == [('pilbara', 'ledger'), ('tayside', 'filing')]


def test_diff_reports_fields_and_rows_saved_since_export(deployed, sheet):
    assert deployed.run(['table', 'diff', str(sheet)]).exit_code == 0
    deployed.run_checked('table set tayside ledger weight=44')
    replace_in_sheet(sheet, 'tayside,filing,7', 'tayside,filing,77')
    result = deployed.run(['table', 'diff', str(sheet)])
    assert result.exit_code == ExitCode.differs
    cells = [line.split() for line in result.stdout.splitlines()]
    assert ['tayside', 'filing', 'weight', '7', '77', 'false'] in cells
    assert ['tayside', 'ledger', 'weight', '44', '3', 'true'] in cells


@pytest.mark.parametrize(
    ('text', 'code', 'message'),
    [
        ('workspace,route,wait\n', ExitCode.rejected, 'unknown columns: wait'),
        ('workspace,route\n', ExitCode.rejected, 'missing columns: revision'),
        (
            'workspace,route,revision,weight\ntayside,ledger,0,no\n',
            ExitCode.rejected,
            'line 2',
        ),
        (
            'workspace,route,revision,weight\ntayside,ledger,0\n',
            ExitCode.rejected,
            'line 2 has more or fewer cells',
        ),
        (
            'workspace,route,revision\ntayside,ledger,0\ntayside,ledger,0\n',
            ExitCode.rejected,
            'a second row for tayside on ledger',
        ),
        (
            'workspace,route,revision\nnobody,ledger,0\n',
            ExitCode.not_found,
            'no workspace nobody',
        ),
    ],
)
def test_invalid_sheet_is_rejected(deployed, tmp_path, text, code, message):
    path = tmp_path / 'rules.csv'
    path.write_text(text)
    result = deployed.run(['table', 'import', str(path)])
    assert result.exit_code == code
    assert message in result.stderr
    assert deployed.read_json('table show') == []


def test_missing_sheet_file_is_rejected(deployed, tmp_path):
    result = deployed.run(['table', 'diff', str(tmp_path / 'none.csv')])
    assert result.exit_code == ExitCode.rejected
