"""
Tests of the order in which peers are asked for connections.

They guard against one peer that carries all connections, and against peers
asked first that are cut off themselves.
"""

from typing import NamedTuple

from cicadahoist.policy.paths.relay_ranking import FAILURE_MS, RelayRanking


class Peer(NamedTuple):
    name: str
    is_near: bool = True
    is_cut_off: bool = False


NEAR = [Peer('a'), Peer('b'), Peer('c')]


def test_peers_of_equal_rank_take_turns():
    ranking = RelayRanking()
    first = [ranking.rank(NEAR, 0)[0] for _ in range(6)]
    assert sorted(first) == ['a', 'a', 'b', 'b', 'c', 'c']


def test_the_own_zone_goes_first():
    ranking = RelayRanking()
    peers = [Peer('a', is_near=False), Peer('b')]
    assert {ranking.rank(peers, 0)[0] for _ in range(4)} == {'b'}


def test_a_peer_that_is_cut_off_goes_behind_other_zones():
    ranking = RelayRanking()
    peers = [Peer('a', is_cut_off=True), Peer('b', is_near=False)]
    assert {ranking.rank(peers, 0)[0] for _ in range(4)} == {'b'}


def test_a_peer_that_failed_goes_last_for_a_while():
    ranking = RelayRanking()
    ranking.record_failure('a', 0)
    assert {ranking.rank(NEAR, 0)[-1] for _ in range(6)} == {'a'}
    first = {ranking.rank(NEAR, FAILURE_MS)[0] for _ in range(3)}
    assert first == {'a', 'b', 'c'}


def test_a_peer_that_succeeds_again_gets_its_turn_back():
    ranking = RelayRanking()
    ranking.record_failure('a', 0)
    ranking.record_success('a')
    assert 'a' in {ranking.rank(NEAR, 0)[0] for _ in range(3)}
