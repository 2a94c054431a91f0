"""Tests of the register of fencing tokens (ONE)."""

import pytest

from cicadahoist.errors import StoreError, StoreUnavailableError
from cicadahoist.protocol.records import EPOCHS_PER_ERA
from cicadahoist.serving.fence_register import FENCE_KIND, FenceRegister
from tests.coroutines import result_of
from tests.test_serving.fake_objects import FakeObjects

TOKEN = 2 * EPOCHS_PER_ERA + 1


@pytest.fixture
def objects():
    return FakeObjects()


def register(objects, holder, epoch=TOKEN):
    return result_of(FenceRegister(objects, holder).register(epoch))


# Guards against two holders of one token, and a lower one after a higher one.
@pytest.mark.parametrize('later', [0, 1])
def test_a_token_that_another_process_has_used_is_refused(objects, later):
    assert register(objects, 'i1.a', TOKEN + later)
    assert not register(objects, 'i2.a')
    assert register(objects, 'i2.a', TOKEN + later + 1)


# Guards against a holder that gives up its own token after a lost answer.
@pytest.mark.parametrize('known', [False, True])
def test_a_token_whose_answer_was_lost_is_registered(objects, known):
    if known:
        register(objects, 'i2.a', TOKEN - 1)
    objects.drops_write_answers = True
    with pytest.raises(StoreUnavailableError):
        register(objects, 'i1.a')
    objects.drops_write_answers = False
    assert register(objects, 'i1.a')
    assert not register(objects, 'i2.a')


def test_the_register_of_an_era_begins_empty(objects):
    assert register(objects, 'i1.a', TOKEN + 4)
    assert register(objects, 'i2.a', TOKEN + EPOCHS_PER_ERA)


def test_a_store_without_eras_is_not_called(objects):
    assert register(objects, 'i1.a', 7)
    assert not objects.calls


def test_an_unreadable_register_lets_no_token_pass(objects):
    objects.put(FENCE_KIND, '2', {'epoch': 'x'})
    with pytest.raises(StoreError):
        register(objects, 'i1.a')
