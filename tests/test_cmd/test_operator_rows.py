import pytest

from cicadahoist.cmd.operator.exits import Exit
from cicadahoist.ids import key_digest


def test_workspace_is_created_once(operator):
    operator.done('workspace create tayside')
    again = operator.run('workspace create tayside')
    assert again.exit_code == Exit.rejected
    assert 'remedy: choose another name' in again.stderr
    assert [row['name'] for row in operator.rows('workspace list')] == [
        'tayside'
    ]


def test_workspace_is_disabled_and_enabled(deployed):
    deployed.done('workspace disable tayside')
    assert deployed.rows('workspace list')[0]['enabled'] is False
    deployed.done('workspace enable tayside')
    assert deployed.rows('workspace list')[0]['enabled'] is True


def test_key_is_printed_once_and_stored_as_digest(deployed):
    deployed.done('key create tayside --key secret-of-clerk --label desk')
    listed = deployed.rows('key list')
    assert listed[0]['digest'] == key_digest('secret-of-clerk')
    assert listed[0]['label'] == 'desk'
    payloads = [stored.payload for stored in deployed.store.by_name.values()]
    assert not any(b'secret-of-clerk' in payload for payload in payloads)


def test_drawn_key_matches_its_digest(deployed):
    created = deployed.rows('key create tayside')[0]
    assert created['digest'] == key_digest(created['key'])


@pytest.mark.parametrize('by', ['digest', 'key', 'stdin'])
def test_key_is_withdrawn(deployed, by):
    deployed.done('key create tayside --key secret')
    line = {
        'digest': 'key withdraw ' + key_digest('secret')[:8],
        'key': 'key withdraw --key secret',
        'stdin': 'key withdraw --key -',
    }[by]
    deployed.done(line, input='secret\n')
    assert deployed.rows('key list')[0]['withdrawn'] is True


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        ('key withdraw 0123', Exit.rejected),
        ('key withdraw 0123456789', Exit.not_found),
        ('key create nobody', Exit.not_found),
        ('workspace disable nobody', Exit.not_found),
        ('target drain nothing', Exit.not_found),
        ('target add e1 --pool p', Exit.usage),
        ('route remove nothing', Exit.not_found),
        ('workspace create a/b', Exit.rejected),
        ('route create a/b --kind service --pool p', Exit.rejected),
        ('target add e1 --pool p --zone z --url host:80', Exit.rejected),
    ],
)
def test_wrong_arguments_have_their_own_codes(deployed, line, code):
    before = deployed.store.by_name.copy()
    assert deployed.run(line).exit_code == code
    assert deployed.store.by_name == before


def test_routes_keep_kind_and_repeat_rule(deployed):
    by_name = {row['name']: row for row in deployed.rows('route list')}
    assert by_name['filing']['kind'] == 'service'
    assert by_name['filing']['repeatable'] is False
    assert by_name['ledger']['repeatable'] is True
    assert [row['name'] for row in deployed.rows('model list')] == ['ledger']


def test_names_of_models_may_hold_slashes(deployed):
    deployed.done('model create maker/model:7b --pool engines')
    names = [row['name'] for row in deployed.rows('model list')]
    assert names == ['ledger', 'maker/model:7b']


def test_route_in_use_stays(deployed):
    deployed.done('table set tayside ledger')
    assert deployed.run('route remove ledger').exit_code == Exit.rejected
    deployed.done('table remove tayside ledger')
    deployed.done('route remove ledger')
    assert [row['name'] for row in deployed.rows('route list')] == ['filing']


def test_target_is_drained_and_taken_back(deployed):
    deployed.done(
        'target add e1 --pool engines --url http://127.0.0.1:9001'
        ' --zone zone-a --no-fencing --reclaimable'
    )
    deployed.done('target set e1 price=300')
    deployed.done('target drain e1')
    row = deployed.rows('target list')[0]
    assert row['draining'] is True
    assert row['fencing'] is False
    assert row['price'] == 300
    deployed.done('target drain e1 --undo')
    assert deployed.rows('target list')[0]['draining'] is False


def test_saves_and_removals_tell_scripts_their_revision(deployed):
    saved = deployed.rows('table set tayside ledger')
    assert saved == {
        'row': 'rule/tayside/ledger',
        'revision': 4,
        'removed': False,
    }
    removed = deployed.rows('table remove tayside ledger')
    assert removed['removed'] is True
    assert removed['revision'] == 5
    assert deployed.rows('key create tayside')[0]['revision'] == 6


def test_empty_key_is_rejected(deployed):
    result = deployed.run('key create tayside --key -', input='\n')
    assert result.exit_code == Exit.rejected
    assert deployed.rows('key list') == []


def test_columns_are_aligned(deployed):
    lines = deployed.done('workspace list').stdout.splitlines()
    assert lines[0].split() == ['NAME', 'ENABLED', 'REVISION']
    assert lines[1].index('true') == lines[0].index('ENABLED')
