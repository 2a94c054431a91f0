"""Era of the platform's store, as its answers state it."""

import pytest

from cicadahoist.errors import StoreBusyError, StoreUnavailableError
from cicadahoist.platform.objects import LeaseObjects, ObjectStore
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
    def __init__(self, *answers):
        self._answers = list(answers)

    async def call(self, method, url, **options):
        return self._answers.pop(0)


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


OBJECT = b'{"metadata":{"name":"duties","revision":7},"spec":{"epoch":3}}'


# Guards against an answer that was given before the store came back and is read
# after one that was given later.
def test_an_answer_of_an_earlier_era_counts_as_none():
    answers = [Answer(era, OBJECT) for era in ('2', '1', '2')]
    store = ObjectStore('http://s', Client(*answers), 1000)
    Pending(store.get('leases', 'duties')).result()
    with pytest.raises(StoreUnavailableError):
        Pending(store.get('leases', 'duties')).result()
    assert store.era == 2
    assert Pending(store.get('leases', 'duties')).result().revision == 7


# Guards against a lease that is written in another era than it was read in.
@pytest.mark.parametrize('expected', [0, 7])
def test_a_lease_is_not_written_across_eras(expected):
    answers = [Answer(era, OBJECT) for era in ('1', '2')]
    store = ObjectStore('http://s', Client(*answers), 1000)
    leases = LeaseObjects(store, 'leases')
    assert Pending(leases.read('duties')).result().era == 1
    with pytest.raises(StoreUnavailableError):
        Pending(leases.write('duties', b'{}', expected)).result()


def test_a_missing_lease_has_the_era_of_its_answer():
    missing = Answer('4', b'{}')
    missing.status = 404
    store = ObjectStore('http://s', Client(missing), 1000)
    read = Pending(LeaseObjects(store, 'leases').read('duties')).result()
    assert (read.version, read.payload, read.era) == (0, b'', 4)


# Guards against a refused call that counts as one that may have been done.
@pytest.mark.parametrize('status', [429, 503])
def test_a_refusal_without_an_era_is_a_refusal(status):
    refused = Answer('', b'')
    refused.status = status
    store = ObjectStore('http://s', Client(Answer('2', OBJECT), refused), 1000)
    Pending(store.get('leases', 'duties')).result()
    with pytest.raises(StoreBusyError):
        Pending(store.get('leases', 'duties')).result()
    assert store.era == 2
