"""
Shutdown, and changes of the table while requests are open.

These tests guard against streams that a shutdown breaks off, against keys that
work after their withdrawal, and against service on an outdated table.
"""

import msgspec
import pytest
from twisted.internet.defer import Deferred

from cicadahoist.config import Config
from cicadahoist.entry.caller import CallerRequest
from cicadahoist.entry.server import EntryServer
from cicadahoist.reasons import Refusal
from cicadahoist.standin.faults import Fault
from cicadahoist.table import StalePolicy, Table
from tests.test_entry.world import World, decode_error, decode_events

GRACE_MS = 500
LIMIT_MS = 5000


class FixedTable:
    """Stand-in for the table sync whose table the tests change."""

    def __init__(self, table) -> None:
        self._table = table
        self._listeners = []
        self.table_age_ms = 0

    def table(self):
        return self._table

    def age_ms(self, now_ms) -> int:
        return self.table_age_ms

    def is_ready(self) -> bool:
        return True

    def add_change_listener(self, listener) -> None:
        self._listeners.append(listener)

    def change(self, table) -> None:
        old = self._table
        self._table = table
        for listener in self._listeners:
            listener(old, table)


class ServedWorld:
    """A world whose first entry runs the server task."""

    def __init__(self) -> None:
        self.world = World()
        self.context = self.world.entries[0].context
        config = Config.from_values(
            entry__drain_grace=GRACE_MS, entry__drain_limit=LIMIT_MS
        )
        self.tables = FixedTable(Table(1, [self.world.rows()]))
        self.server = EntryServer(
            config, self.context, self.tables, self.world.net.reactor
        )
        self.world.net.result(self.server.start())
        # Callers reach the site that the server opened.
        _, site, *_ = self.world.net.reactor.tcpServers[-1]
        self.world.entries[0].host.site = site

    def stop(self):
        done = []
        Deferred.fromCoroutine(self.server.stop()).addBoth(done.append)
        return done


@pytest.fixture
def served():
    return ServedWorld()


# Guards against a process that ends before its last answer is written.
def test_leaving_waits_for_the_refusal_of_the_last_request(served, monkeypatch):
    for server in served.world.engines.values():
        server.faults.apply(Fault(kind='stall'))
    written = []
    monkeypatch.setattr(
        CallerRequest,
        'send_refusal',
        lambda caller, refused: written.append(refused),
    )
    served.world.chat()
    seen = []
    stopping = Deferred.fromCoroutine(served.server.stop())
    stopping.addCallback(lambda _: seen.extend(written))
    served.world.net.advance(GRACE_MS + LIMIT_MS + 100)
    assert written
    assert seen == written


def test_leaving_cuts_no_stream(served):
    answer = served.world.chat(tokens=200)
    served.world.net.until(lambda: len(answer.body) > 500)
    done = served.stop()
    assert not served.server.is_ready()
    served.world.net.advance(GRACE_MS + 500)
    assert not done
    served.world.finish(answer)
    assert decode_events(answer)[-1] == '[DONE]'
    served.world.net.advance(10)
    assert done == [None]


def test_requests_during_the_grace_are_served(served):
    served.stop()
    served.world.net.advance(GRACE_MS - 100)
    answer = served.world.finish(served.world.chat(tokens=5))
    assert decode_events(answer)[-1] == '[DONE]'


def test_requests_on_kept_connections_after_the_grace_did_not_run(served):
    open_answer = served.world.chat(tokens=300)
    served.stop()
    served.world.net.advance(GRACE_MS + 100)
    late = served.world.finish(served.world.chat(tokens=5))
    assert decode_error(late)['code'] == Refusal.leaving.code
    assert decode_error(late)['outcome'] == 'not-run'
    served.world.finish(open_answer)
    assert decode_events(open_answer)[-1] == '[DONE]'


def test_requests_open_past_the_drain_limit_are_aborted(served):
    answer = served.world.chat(tokens=2000)
    done = served.stop()
    served.world.net.advance(GRACE_MS + LIMIT_MS + 100)
    assert answer.is_over
    assert decode_events(answer)[-1]['error']['code'] == 'timed-out'
    assert done == [None]


def test_a_withdrawn_key_cuts_its_open_streams_only(served):
    rows = served.world.rows()
    rows.rules.append(
        msgspec.structs.replace(rows.rules[0], workspace='pilbara')
    )
    served.tables.change(Table(2, [rows]))
    kept = served.world.chat(tokens=200, key='key-of-pilbara')
    cut = served.world.chat(tokens=200)
    served.world.net.until(lambda: len(cut.body) > 500)
    rows = served.world.rows()
    rows.rules.append(
        msgspec.structs.replace(rows.rules[0], workspace='pilbara')
    )
    rows.keys[0] = msgspec.structs.replace(rows.keys[0], withdrawn=True)
    served.tables.change(Table(3, [rows]))
    served.world.net.advance(50)
    assert cut.is_over
    error = decode_events(cut)[-1]['error']
    assert error['code'] == Refusal.key_withdrawn_midway.code
    assert error['outcome'] == 'failed'
    served.world.finish(kept)
    assert decode_events(kept)[-1] == '[DONE]'
    again = served.world.finish(served.world.chat())
    assert decode_error(again)['code'] == Refusal.key_withdrawn.code


@pytest.mark.parametrize(
    ('stale', 'lookup', 'filing'),
    [
        (StalePolicy.auto, 200, 503),
        (StalePolicy.serve, 200, 200),
        (StalePolicy.refuse, 503, 503),
    ],
)
def test_a_cut_off_zone_serves_as_its_rows_say(served, stale, lookup, filing):
    rows = served.world.rows(stale=stale, stale_limit_ms=10_000)
    served.tables.change(Table(2, [rows]))
    for table_age_ms, expected in (
        (9_000, (200, 200)),
        (11_000, (lookup, filing)),
    ):
        served.tables.table_age_ms = table_age_ms
        answers = [
            served.world.finish(served.world.send('POST', f'/services/{path}'))
            for path in ('lookup/x', 'filing/x')
        ]
        assert tuple(answer.status for answer in answers) == expected
