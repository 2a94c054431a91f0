import pytest

from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.ids import key_digest


def test_creating_an_existing_workspace_is_rejected(operator):
    operator.run_checked('workspace create tayside')
    again = operator.run('workspace create tayside')
    assert again.exit_code == ExitCode.rejected
    assert 'remedy: choose another name' in again.stderr
    assert [row['name'] for row in operator.read_json('workspace list')] == [
        'tayside'
    ]


def test_workspace_can_be_disabled_and_enabled(deployed):
    deployed.run_checked('workspace disable tayside')
    assert deployed.read_json('workspace list')[0]['enabled'] is False
    deployed.run_checked('workspace enable tayside')
    assert deployed.read_json('workspace list')[0]['enabled'] is True


def test_key_is_printed_once_and_stored_as_digest(deployed):
    deployed.run_checked(
        'key create tayside --key secret-of-clerk --label desk'
    )
    listed = deployed.read_json('key list')
    assert listed[0]['digest'] == key_digest('secret-of-clerk')
    assert listed[0]['label'] == 'desk'
    payloads = [
        stored.payload for stored in deployed.store.object_by_name.values()
    ]
    assert not any(b'secret-of-clerk' in payload for payload in payloads)


def test_generated_key_matches_its_digest(deployed):
    created = deployed.read_json('key create tayside')[0]
    assert created['digest'] == key_digest(created['key'])


@pytest.mark.parametrize('by', ['digest', 'key', 'stdin'])
def test_key_is_withdrawn_by_digest_or_key(deployed, by):
    deployed.run_checked('key create tayside --key secret')
    line = {
        'digest': 'key withdraw ' + key_digest('secret')[:8],
        'key': 'key withdraw --key secret',
        'stdin': 'key withdraw --key -',
    }[by]
    deployed.run_checked(line, input='secret\n')
    assert deployed.read_json('key list')[0]['withdrawn'] is True


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        ('key withdraw 0123', ExitCode.rejected),
        ('key withdraw 0123456789', ExitCode.not_found),
        ('key create nobody', ExitCode.not_found),
        ('workspace disable nobody', ExitCode.not_found),
        ('target drain nothing', ExitCode.not_found),
        ('target add e1 --pool p', ExitCode.usage),
        ('route remove nothing', ExitCode.not_found),
        ('workspace create a/b', ExitCode.rejected),
        ('route create a/b --kind service --pool p', ExitCode.rejected),
        ('target add e1 --pool p --zone z --url host:80', ExitCode.rejected),
    ],
)
def test_invalid_arguments_have_their_own_exit_codes(deployed, line, code):
    before = deployed.store.object_by_name.copy()
    assert deployed.run(line).exit_code == code
    assert deployed.store.object_by_name == before


def test_routes_store_kind_and_repeatability(deployed):
    by_name = {row['name']: row for row in deployed.read_json('route list')}
    assert by_name['filing']['kind'] == 'service'
    assert by_name['filing']['repeatable'] is False
    assert by_name['ledger']['repeatable'] is True
    assert [row['name'] for row in deployed.read_json('model list')] == [
        'ledger'
    ]


def test_model_names_may_contain_slashes(deployed):
    deployed.run_checked('model create maker/model:7b --pool engines')
    names = [row['name'] for row in deployed.read_json('model list')]
    assert names == ['ledger', 'maker/model:7b']


def test_route_used_by_a_rule_cannot_be_removed(deployed):
    deployed.run_checked('table set tayside ledger')
    assert deployed.run('route remove ledger').exit_code == ExitCode.rejected
    deployed.run_checked('table remove tayside ledger')
    deployed.run_checked('route remove ledger')
    assert [row['name'] for row in deployed.read_json('route list')] == [
        'filing'
    ]


def test_target_drain_can_be_undone(deployed):
    deployed.run_checked(
        'target add e1 --pool engines --url http://127.0.0.1:9001'
        ' --zone zone-a --no-fencing --reclaimable'
    )
    deployed.run_checked('target set e1 price=300')
    deployed.run_checked('target drain e1')
    row = deployed.read_json('target list')[0]
    assert row['draining'] is True
    assert row['fencing'] is False
    assert row['price'] == 300
    deployed.run_checked('target drain e1 --undo')
    assert deployed.read_json('target list')[0]['draining'] is False


def test_json_output_of_saves_and_removals_has_the_revision(deployed):
    saved = deployed.read_json('table set tayside ledger')
    assert saved == {
        'row': 'rule/tayside/ledger',
        'revision': 4,
        'removed': False,
    }
    removed = deployed.read_json('table remove tayside ledger')
    assert removed['removed'] is True
    assert removed['revision'] == 5
    assert deployed.read_json('key create tayside')[0]['revision'] == 6


def test_empty_key_is_rejected(deployed):
    result = deployed.run('key create tayside --key -', input='\n')
    assert result.exit_code == ExitCode.rejected
    assert deployed.read_json('key list') == []


def test_columns_are_aligned(deployed):
    lines = deployed.run_checked('workspace list').stdout.splitlines()
    assert lines[0].split() == ['NAME', 'ENABLED', 'REVISION']
    assert lines[1].index('true') == lines[0].index('ENABLED')
