from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.outside.store import Stored
from cicadahoist.protocol.records import (
    JournalEntry,
    LeaseRecord,
    encode_record,
    lease_name,
)


def put_object(store, name, payload, version=1):
    store.object_by_name[name] = Stored(name, version, payload)


def test_lease_list_shows_holder_epoch_and_unsettled_orders(operator):
    orders = {
        'e1': JournalEntry(target='e1', epoch=3, seq=8, kind='role'),
        'e2': JournalEntry(
            target='e2', epoch=3, seq=9, kind='role', settled=True
        ),
    }
    record = LeaseRecord(epoch=3, holder='i1.abc', orders=orders)
    put_object(operator.store, lease_name('zone-b', 'engines'), b'', 1)
    put_object(
        operator.store,
        lease_name('zone-a', 'engines'),
        encode_record(record),
        41,
    )
    rows = operator.read_json('lease list')
    assert [row['zone'] for row in rows] == ['zone-a', 'zone-b']
    assert rows[0] == {
        'zone': 'zone-a',
        'duty': 'engines',
        'holder': 'i1.abc',
        'epoch': 3,
        'released': False,
        'unsettled': 1,
        'version': 41,
    }


def test_undecodable_lease_is_reported_without_traceback(operator):
    put_object(operator.store, lease_name('zone-a', 'engines'), b'[')
    result = operator.run('lease list')
    assert result.exit_code == ExitCode.error
    assert 'remedy: run the same version on all instances' in result.stderr
    assert 'Traceback' not in result.output
