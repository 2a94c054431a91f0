"""Era of the platform's store, as its answers state it."""

import pytest

from cicadahoist.platform.objects import ObjectStore
from tests.coroutines import Pending


class Answer:
    status = 200

    def __init__(self, era, body):
        self._era = era
        self._body = body

    def header(self, name):
        assert name == 'Store-Era'
        return self._era

    async def read_body(self, timeout_ms):
        return self._body


class Client:
    def __init__(self, answer):
        self._answer = answer

    async def call(self, method, url, **options):
        return self._answer


@pytest.mark.parametrize(
    ('stated', 'era'), [('3', 3), ('0', 0), ('', 0), ('x', 0), ('-1', 0)]
)
def test_pages_and_changes_have_the_era_of_their_answer(stated, era):
    page = Answer(stated, b'{"items":[],"has-more":false,"as-of":7}')
    store = ObjectStore('http://s', Client(page), 1000)
    assert Pending(store.read_page('servers')).result().era == era
    events = Answer(stated, b'{"events":[],"as-of":7}')
    store = ObjectStore('http://s', Client(events), 1000)
    assert Pending(store.watch('servers', 6, 100)).result().era == era
