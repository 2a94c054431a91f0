from cicadahoist.messages import DrainAck, DrainNotice
from cicadahoist.protocol.drain import Drain
from cicadahoist.protocol.drain_events import (
    AllowChange,
    DrainAcked,
    LoadRead,
    SendNotice,
)
from cicadahoist.protocol.drain_notices import DrainNotices
from cicadahoist.protocol.events import Tick

LIMIT_MS = 10_000


def make_drain():
    return Drain('t1', '2.1', {'e1': 'a', 'e2': 'b'}, LIMIT_MS)


def ack(drain, name, incarnation, now_ms, open_requests=0):
    drain_ack = DrainAck(
        target='t1',
        order='2.1',
        instance=name,
        incarnation=incarnation,
        open_requests=open_requests,
    )
    return drain.handle(DrainAcked(drain_ack), now_ms)


def test_missing_acknowledgement_postpones_the_change():
    drain = make_drain()
    ack(drain, 'e1', 'a', 10)
    ack(drain, 'e2', 'replaced', 10)
    drain.handle(Tick(), 20)
    assert drain.state == 'announced'
    (sent,) = drain.handle(Tick(), LIMIT_MS)
    assert drain.state == 'postponed'
    assert sent == SendNotice(
        DrainNotice(target='t1', order='2.1', active=False)
    )


def test_target_must_be_empty_after_the_last_acknowledgement():
    drain = make_drain()
    ack(drain, 'e1', 'a', 10)
    ack(drain, 'e2', 'b', 30)
    drain.handle(Tick(), 40)
    assert drain.handle(LoadRead(20, 0), 50) == []
    assert drain.handle(LoadRead(40, 1), 50) == []
    assert drain.handle(LoadRead(40, 0), 60) == [AllowChange('t1')]


def test_crossed_notices_do_not_take_back_a_newer_drain():
    notices = DrainNotices()
    notices.apply(DrainNotice(target='t1', order='2.2'))
    notices.apply(DrainNotice(target='t1', order='2.1', active=False))
    assert notices.is_drained('t1')
    notices.apply(DrainNotice(target='t1', order='2.2', active=False))
    notices.apply(DrainNotice(target='t1', order='2.2'))
    assert not notices.is_drained('t1')
    assert notices.make_acks('e1', 'a', {}) == []
