"""
Tests of quotas in the data path (docs/design/quotas.md).

They guard against requests beyond the quota that are sent, against tokens that
are lost with requests that do not run, and against any message or wait where no
quota is configured.
"""

import pytest
from msgspec.structs import replace

from cicadahoist.metrics import (
    QUOTA_GRANTED,
    QUOTA_REFUSED,
    QUOTA_RETURNED,
    QUOTA_USED,
    MetricSpec,
)
from cicadahoist.policy.quotas.delegations import compute_rank
from cicadahoist.policy.quotas.limit import QuotaTerms
from cicadahoist.reasons import Refusal
from cicadahoist.rules import Quota
from cicadahoist.serving.quota_asks import ANSWER_TIMEOUT_MS, TRIES_PER_HOME
from cicadahoist.serving.quota_homes import FIRST_ANSWER_MS
from cicadahoist.serving.quota_messages import (
    QUOTA_MARK,
    Answer,
    QuotaMessage,
    codec,
)
from tests.test_serving.test_load_exchange import create_deployment
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    TARGETS,
    World,
    deployment,
    prompt_headers,
)

# A prompt of SHORT_PROMPT_HEADERS counts as 512 tokens.
QUOTA = Quota(
    tokens_per_s=512, burst_tokens=512, counts_tokens=True, plain_tokens=512
)
EXCEEDED = MetricSpec.of_refusal(Refusal.quota_exceeded)
FIRST, SECOND = sorted(('i1', 'i2'), key=lambda name: compute_rank('w1', name))


def with_quota(version=2, quota=QUOTA):
    return replace(deployment(version), quota_by_workspace={'w1': quota})


class QuotaWorld(World):
    """
    One instance with a quota for two requests.

    :param peer: name of the only peer, which is the home
    """

    def __init__(self, peer=''):
        super().__init__()
        self.add(*TARGETS)
        quotas = self.context.quotas
        quotas.set_terms(QuotaTerms(over_share=0.2, slack_tokens=0))
        quotas.join(SECOND, 'term', lambda name, now_ms: True)
        quotas.claims.delegations.mark_first_start()
        self.messages = []
        addresses = {peer: ('h', 2)} if peer else {}
        quotas.connect(self._keep, addresses)
        self.context.apply_deployment(with_quota())
        self.pass_time(3000)
        self.messages.clear()

    def pass_time(self, duration_ms):
        """Advance in steps, so that leases are prolonged in time."""
        for _ in range(duration_ms // 500):
            self.clock.advance(500)

    def _keep(self, datagram, address):
        self.messages.append(codec.decode(datagram[len(QUOTA_MARK) :]))

    @property
    def questions(self):
        return [each for sent in self.messages for each in sent.questions]

    @property
    def returns(self):
        return [each for sent in self.messages for each in sent.returns]

    def answer(self, question, wait_ms=None):
        message = QuotaMessage(
            sender=FIRST,
            term='other',
            instance_count=2,
            stamp_ms=0,
            answers=(Answer(question.number, 'w1', wait_ms),),
        )
        datagram = QUOTA_MARK + codec.encode(message)
        self.context.quotas.receive(datagram, ('h', 2))

    def apply_quota(self, quota):
        self.context.apply_deployment(with_quota(3, quota))

    def drain(self):
        """Use the tokens that are there."""
        for _ in range(2):
            caller = self.send_request(b'/submit/x')
            if caller.status is None:
                self.sent[-1].answer()
        assert caller.status == 429


@pytest.fixture
def world():
    return QuotaWorld()


@pytest.fixture
def asking_world():
    return QuotaWorld(peer=FIRST)


def test_requests_beyond_the_quota_get_429_and_later_ones_a_later_time(world):
    world.drain()
    sent_count = len(world.sent)
    callers = [world.send_request(b'/submit/x') for _ in range(3)]
    assert [caller.status for caller in callers] == [429] * 3
    times = [float(caller.header(b'Retry-After')) for caller in callers]
    assert times == sorted(set(times))
    assert len(world.sent) == sent_count
    assert world.count(EXCEEDED) == 4
    assert world.count(QUOTA_REFUSED) == 4 * 512
    assert world.count(QUOTA_USED) == world.count(QUOTA_GRANTED)


def test_a_caller_that_comes_back_at_its_time_is_served(world):
    world.drain()
    caller = world.send_request(b'/submit/x')
    world.pass_time(1000 * round(float(caller.header(b'Retry-After')) + 0.5))
    sent_count = len(world.sent)
    world.send_request(b'/submit/x')
    assert len(world.sent) == sent_count + 1


def test_requests_beyond_the_quota_are_no_demand_for_engines(world):
    world.drain()
    # A recorded arrival would raise an error, which is answered with 502.
    world.context.demand = None
    caller = world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS)
    assert caller.status == 429


def test_prefill_and_decode_of_a_request_are_charged_once(world):
    world.apply_quota(replace(QUOTA, burst_tokens=10_000, tokens_per_s=10_000))
    world.pass_time(1000)
    world.send_request(b'/ask/x', *prompt_headers(8000))
    (prefill,) = world.sent
    prefill.answer(body=b'{"kv-handle":"h7","tokens":9000,"version":1}')
    _, decode = world.sent
    assert prefill.header(b'X-Cicadahoist-Serving-Stage') == b'prefill'
    decode.begin_stream()
    decode.send_events(1)
    decode.end_stream()
    assert world.count(QUOTA_GRANTED) == world.count(QUOTA_USED) == 8312


def test_a_request_refused_otherwise_returns_its_tokens(world):
    world.context.fleet.directory.replace([])
    for _ in range(4):
        assert world.send_request(b'/submit/x').status == 503
    assert world.count(QUOTA_RETURNED) == 4 * 512


def test_a_run_that_a_target_rejects_is_not_charged(world):
    caller = world.send_request(b'/lookup/x')
    world.sent[0].reject()
    world.sent[1].answer()
    assert caller.status == 200
    assert world.count(QUOTA_GRANTED) == world.count(QUOTA_USED) == 512


def test_a_second_run_is_charged_again(world):
    world.apply_quota(replace(QUOTA, burst_tokens=1024))
    world.pass_time(4000)
    caller = world.send_request(b'/lookup/x')
    world.sent[0].reset()
    world.sent[1].answer()
    assert caller.status == 200
    assert world.count(QUOTA_USED) == 2 * 512


def test_a_second_run_beyond_the_quota_is_not_sent(world):
    caller = world.send_request(b'/lookup/x')
    world.drain()
    sent_count = len(world.sent)
    world.sent[0].reset()
    assert len(world.sent) == sent_count
    # The first target may have run it.
    assert caller.status == 502


def test_a_request_waits_for_the_answer_of_the_home(asking_world):
    world = asking_world
    callers = [world.send_request(b'/submit/x') for _ in range(2)]
    world.clock.advance(0)
    # Requests of one moment share a datagram.
    assert len(world.messages) == 1
    assert not world.sent
    granted, refused = world.questions
    world.answer(granted)
    world.answer(refused, wait_ms=700)
    assert len(world.sent) == 1
    assert callers[1].status == 429
    assert callers[1].header(b'Retry-After') == b'0.700'


def test_a_caller_that_leaves_meanwhile_returns_its_tokens(asking_world):
    world = asking_world
    caller = world.send_request(b'/submit/x')
    world.clock.advance(0)
    caller.disconnect()
    world.answer(world.questions[0])
    world.clock.advance(0)
    assert not world.sent
    assert len(world.returns) == 1


def test_an_instance_that_ends_meanwhile_refuses_as_not_run(asking_world):
    world = asking_world
    caller = world.send_request(b'/submit/x')
    world.clock.advance(0)
    caller.connection.active_request.give_up()
    assert caller.status == 503
    world.answer(world.questions[0])
    world.clock.advance(0)
    assert not world.sent
    assert len(world.returns) == 1


def time_out(world):
    for _ in range(TRIES_PER_HOME):
        world.clock.advance(0)
        world.clock.advance(ANSWER_TIMEOUT_MS)


def test_a_home_that_does_not_answer_is_asked_again_then_the_second(
    asking_world,
):
    world = asking_world
    world.send_request(b'/submit/x')
    time_out(world)
    assert len({question.number for question in world.questions}) == 1
    assert len(world.questions) == TRIES_PER_HOME
    # This instance is the second; its half of the shares is not enough.
    world.clock.advance(FIRST_ANSWER_MS)
    assert not world.count(EXCEEDED)
    world.clock.advance(ANSWER_TIMEOUT_MS)
    assert world.count(EXCEEDED) == 1
    # A grant that comes later is returned, as no request waits for it.
    world.answer(world.questions[0])
    world.clock.advance(0)
    assert len(world.returns) == 2
    assert not world.sent


def test_a_busy_home_may_still_grant_while_the_second_is_asked(asking_world):
    world = asking_world
    world.send_request(b'/submit/x')
    time_out(world)
    world.answer(world.questions[0])
    world.clock.advance(FIRST_ANSWER_MS)
    assert len(world.sent) == 1
    world.clock.advance(0)
    assert not world.returns


def test_a_deadline_that_passes_meanwhile_ends_the_request(asking_world):
    world = asking_world
    caller = world.send_request(b'/submit/x', patience=50)
    world.clock.advance(40)
    assert caller.status == 503
    assert not world.sent


def test_without_quotas_nothing_is_sent_and_nothing_waits():
    network, clock, instances = create_deployment(['a', 'a', 'b'])
    for instance in instances:
        instance.world.add(*TARGETS)
    instances[0].world.send_request(b'/submit/x')
    assert instances[0].world.sent
    clock.advance(5000)
    assert not any(each.startswith(QUOTA_MARK) for each in network.datagrams)


def test_instances_enforce_a_quota_together_over_the_socket():
    network, clock, instances = create_deployment(['a', 'a', 'b'])
    quota = replace(QUOTA, tokens_per_s=5120, burst_tokens=5120)
    for instance in instances:
        world = instance.world
        world.add(*TARGETS)
        quotas = world.context.quotas
        quotas.set_terms(QuotaTerms(slack_tokens=0))
        quotas.claims.delegations.mark_first_start()
        world.context.apply_deployment(with_quota(quota=quota))
    for _ in range(30):
        clock.advance(100)
    callers = [
        instance.world.send_request(b'/submit/x')
        for instance in instances
        for _ in range(20)
    ]
    for _ in range(4):
        clock.advance(0)
    sent_count = sum(len(instance.world.sent) for instance in instances)
    # Burst of ten requests, and half of the tolerance.
    assert sent_count == 14
    refused = [caller for caller in callers if caller.status == 429]
    assert len(refused) == len(callers) - sent_count
