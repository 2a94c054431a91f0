"""
Tests of messages between instances of different builds.

During an upgrade old and new builds serve side by side. They guard against a
message of one build that the other one drops, and against state that is lost
because a message lacks a field. Recorded messages are from the named commit.
"""

from pathlib import Path

import msgspec
import pytest

from cicadahoist.policy.engine_board import RoleClosure
from cicadahoist.policy.peer_loads import InFlightLoad
from cicadahoist.policy.target_pauses import TargetLife
from cicadahoist.requests import PromptPart
from cicadahoist.serving.load_exchange import LoadMessage, PeerRecord
from cicadahoist.serving.load_group import PrefillStart
from cicadahoist.serving.relay_peers import RelayState

RECORDED = Path(__file__).parent / 'recorded'


class LandedLoad(msgspec.Struct, array_like=True, frozen=True):
    """The load report as commit fd63e65 decodes it."""

    sender: str
    true_ms: int
    by_engine: dict[str, InFlightLoad]
    closed_by_engine: dict[str, RoleClosure] = {}
    blames: tuple = ()
    prefills: tuple[PrefillStart, ...] = ()
    holds_duties: bool = False
    usage: object = None
    part_news: object = None
    relay: RelayState = RelayState()


def read_recorded(name):
    return bytes.fromhex((RECORDED / name).read_text().strip())


def test_a_load_report_of_the_landed_build_is_read():
    load = msgspec.msgpack.decode(
        read_recorded('load-fd63e65.hex'), type=LoadMessage
    )
    assert load.by_engine == {'e1': InFlightLoad(900, 2, 18_000)}
    assert load.closed_by_engine == {'e2': RoleClosure('prefill', 700)}
    assert load.prefills[0].parts[1] == PromptPart('bb', 3800)
    assert load.holds_duties
    assert load.departures == ()


def test_the_landed_build_reads_a_load_report_of_this_one():
    load = LoadMessage(
        'front-b-1',
        7,
        {'e1': InFlightLoad(1, 2, 3)},
        holds_duties=True,
        departures=(TargetLife('t1', 100),),
    )
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(load), type=LandedLoad)
    assert read.sender == 'front-b-1'
    assert read.by_engine == {'e1': InFlightLoad(1, 2, 3)}
    assert read.holds_duties


@pytest.mark.parametrize('field_count', [3, 6, 10])
def test_a_load_report_with_fewer_fields_is_read(field_count):
    fields = msgspec.msgpack.decode(read_recorded('load-fd63e65.hex'))
    load = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields[:field_count]), type=LoadMessage
    )
    assert load.sender == 'front-a-1'


def test_a_load_report_with_unknown_fields_is_read():
    recorded = msgspec.msgpack.decode(
        read_recorded('load-fd63e65.hex'), type=LoadMessage
    )
    # All fields of this build, then those of a later one.
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(recorded))
    fields.extend([[], {'x': 1}, 'y'])
    load = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=LoadMessage
    )
    assert load.sender == 'front-a-1'


def test_a_record_of_an_instance_with_unknown_fields_is_read():
    record = msgspec.convert(
        {'host': '10.0.0.1', 'port': 7, 'zone': 'a', 'of-a-later-build': [1]},
        PeerRecord,
    )
    assert (record.host, record.port, record.relay_port) == ('10.0.0.1', 7, 0)
