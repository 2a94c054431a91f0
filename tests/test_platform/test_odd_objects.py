"""
Tests of objects of other writers that cannot be decoded, or are out of bounds.

They guard against one such object that hides all others of its answer, ends the
process or keeps it from following the store (RECOVER, LOST).
"""

import json

import msgspec
import pytest

from cicadahoist.errors import StoreUnavailableError, WireError
from cicadahoist.objects import Change, StoredObject, list_all
from cicadahoist.outside.json_pieces import split_array, split_object
from cicadahoist.platform.discovery import decode_listing
from cicadahoist.platform.object_codec import (
    decode_changes,
    decode_object,
    decode_page,
)
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.serving.watch_news import (
    KindNews,
    WatchMessage,
    encode_news,
    watch_codec,
)
from tests.coroutines import Pending
from tests.test_platform.test_objects import Answer, Client

ENTRY = {
    'service': 'app',
    'address': '10.0.0.1:80',
    'version': 'v1',
    'state': 'ready',
}
# Contents that no decoder takes: no text, out of range, nested too deeply.
UNDECODABLE = {
    'bytes': b'"\xff\xfe{\\"service\\": "',
    'surrogates': b'"\\udcff\\udcfe{\\"service\\": "',
    'surrogate key': b'{"\\udcff":1}',
    'too large': b'{"cold-left-ms":1e999}',
    'too small': b'{"cold-left-ms":-1e999}',
    'long number': b'{"seq":' + b'9' * 5000 + b'}',
    'deep list': b'[' * 100_000 + b']' * 100_000,
    'deep object': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'deep and mixed': b'[{"],}":' * 20_000 + b'"]"' + b'}]' * 20_000,
}
CASES = pytest.mark.parametrize(
    'odd', UNDECODABLE.values(), ids=UNDECODABLE.keys()
)


def build_object(name, spec, revision=7):
    return b'{"metadata":{"name":"%s","revision":%d},"spec":%s}' % (
        name.encode(),
        revision,
        spec,
    )


GOOD = [build_object(name, json.dumps(ENTRY).encode()) for name in ('a', 'z')]


@CASES
@pytest.mark.parametrize('key', ['spec', 'status'])
def test_one_object_hides_no_others_of_a_list(odd, key):
    broken = build_object('m', odd).replace(b'"spec"', b'"%s"' % key.encode())
    page = decode_page(
        b'{"items":[%s],"has-more":true,"as-of":9}'
        % b', '.join([GOOD[0], broken, GOOD[1]])
    )
    assert [one.name for one in page.objects] == ['a', 'm', 'z']
    assert [one.spec for one in page.objects] == [ENTRY, None, ENTRY]
    assert (page.has_more, page.as_of) == (True, 9)


@CASES
def test_one_event_hides_no_others_of_a_watch(odd):
    events = b','.join(
        b'{"object":%s,"deleted":%s}' % (text, deleted)
        for text, deleted in (
            (GOOD[0], b'false'),
            (build_object('m', odd), b'true'),
            (build_object('n', odd), b'false'),
            (GOOD[1], b'true'),
        )
    )
    seen = decode_changes(b'{ "events" : [%s] , "as-of": 12 }' % events)
    assert [
        (change.stored.name, change.is_removed) for change in seen.changes
    ] == [('a', False), ('m', True), ('n', False), ('z', True)]
    assert seen.as_of == 12
    assert seen.changes[2].stored == StoredObject('n', 7, None)


# Guards against an object that cannot even be named.
@CASES
def test_an_object_without_a_name_is_left_out(odd):
    nameless = b'{"metadata":{"name":%s,"revision":7},"spec":{}}' % odd
    page = decode_page(b'{"items":[%s,%s]}' % (nameless, GOOD[0]))
    assert [one.name for one in page.objects] == ['a']
    with pytest.raises(WireError):
        decode_object(nameless)


# Guards against metadata that other writers fill.
@CASES
def test_metadata_of_other_writers_are_ignored(odd):
    text = b'{"metadata":{"finalizers":[%s],"name":"m","revision":3}}' % odd
    assert decode_object(text) == StoredObject('m', 3, None)


def test_an_answer_that_is_no_list_is_no_answer():
    for body in (b'', b'<html>', b'[]', b'{"items":7}', b'{"items":[1'):
        store = ObjectStore('http://s', Client(Answer('1', body)), 1000)
        with pytest.raises(StoreUnavailableError):
            Pending(store.read_page('servers')).result()


# Guards against a list whose continuation cannot be named.
def test_a_page_of_objects_without_names_ends_the_list():
    body = b'{"items":[{"metadata":{"name":1e999}}],"has-more":true}'
    store = ObjectStore('http://s', Client(Answer('1', body)), 1000)
    assert Pending(list_all(store, 'servers')).result() == []


@pytest.mark.parametrize(
    ('text', 'pieces'),
    [
        (b' [ ] ', []),
        (b'[1, [2,3] ,{"a":[4]}]', [b'1', b'[2,3]', b'{"a":[4]}']),
        (b'["a,]\\"", "\\\\"]', [b'"a,]\\""', b'"\\\\"']),
    ],
)
def test_arrays_are_split_at_their_outermost_commas(text, pieces):
    assert split_array(text) == pieces


def test_objects_are_split_by_key():
    text = b'{"a" : {"b,":[1,2]}, "c:":":", "d":null}'
    assert split_object(text) == {
        'a': b'{"b,":[1,2]}',
        'c:': b'":"',
        'd': b'null',
    }
    for broken in (b'', b'[]', b'{1:2}', b'{"a"}'):
        with pytest.raises(WireError):
            split_object(broken)


@pytest.mark.parametrize(
    'fields',
    [
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:65536'},
        {'address': '10.0.0.1:99999999999999999999'},
        {'address': '10.0.0.1:-1'},
        {'address': '10.0.0.1: 80'},
        {'address': '10.0.0.1:8_0'},
        {'address': '10.0.0.1:\u0663'},
        {'address': '10.0.0.256:80'},
        {'address': 'elsewhere:80'},
        {'address': ':80'},
        {'address': '[::1]:80'},
        {'address': ''},
        {'cold-left-ms': 1e308},
        {'cold-left-ms': float('inf')},
        {'cold-left-ms': float('nan')},
        {'cold-left-ms': -1},
        {'cold-left-ms': 10**400},
        {'slots': 0},
        {'slots': -6},
        {'slots': 10**30},
        {'born': 10**30},
        {'born': -1},
        {'zone': 'z' * 10_000},
        {'version': 'v' * 10_000},
        {'version': None},
        {'state': 'elsewhere'},
        {'stage': 'both'},
        {'service': 7},
    ],
)
def test_an_entry_out_of_bounds_names_no_target(fields):
    assert decode_listing('t1', ENTRY) is not None
    assert decode_listing('t1', {**ENTRY, **fields}) is None


@pytest.mark.parametrize('name', ['', 'a b', 'a\r\nb', '\u00e9', 'x' * 300])
def test_an_id_that_no_header_can_carry_names_no_target(name):
    assert decode_listing(name, ENTRY) is None


@pytest.mark.parametrize('spec', [None, 7, 'text', [], [[[]]], {}])
def test_an_entry_of_another_type_names_no_target(spec):
    assert decode_listing('t1', spec) is None


# Guards against a reader of the store that ends at what it cannot tell.
def test_a_change_that_no_message_can_hold_is_left_out():
    deep = []
    for _ in range(5000):
        deep = [deep]
    for spec in ({'seq': 10**30}, deep):
        change = Change(StoredObject('m', 7, spec), False)
        news = KindNews('servers', 1, 9, 9, 0, 7, (change,))
        datagram = encode_news(WatchMessage('i1', 5, (news,)))
        (told,) = watch_codec.decode(datagram[1:]).news
        assert not told.changes
        assert told.changed_at == 9


# Guards against a datagram that ends the process that receives it.
def test_a_message_that_is_nested_too_deeply_is_unreadable():
    text = b'\x91' * 100_000 + b'\xc0'
    with pytest.raises(WireError):
        watch_codec.decode(msgspec.msgpack.encode(['i1', 5])[:-1] + text)
