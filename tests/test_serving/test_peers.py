"""How often standbys read the lease of the duties."""

from cicadahoist.serving.peers import Peers


def test_only_a_few_standbys_read_the_lease_each_second():
    """Guards against calls to the store that grow with the fleet."""
    names = [f'i{number}' for number in range(80)]
    periods_s = []
    for name in names:
        peers = Peers(name)
        for other in names:
            if other != name:
                peers.mark_alive(other, 1000)
        periods_s.append(peers.compute_check_period_s(2000))
    assert sorted(periods_s)[:4] == [1, 1, 1, 2]
    assert max(periods_s) == 10
    assert sum(1 / period_s for period_s in periods_s) < 15


def test_a_standby_moves_up_when_others_fall_silent():
    peers = Peers('i9')
    for number in range(40):
        peers.mark_alive(f'i-{number}', 1000)
    assert peers.compute_check_period_s(1000) > 1
    assert peers.compute_check_period_s(4001) == 1


def test_only_the_closest_standbys_read_often_while_the_holder_is_alive():
    names = [f'i{number}' for number in range(20)]
    periods_with_holder_s, periods_without_holder_s = [], []
    for name in names:
        peers = Peers(name)
        for other in names:
            if other != name:
                peers.mark_alive(other, 1000, holds_duties=other == 'i3')
        periods_with_holder_s.append(peers.compute_check_period_s(3000))
        periods_without_holder_s.append(peers.compute_check_period_s(3001))
    periods_with_holder_s.pop(names.index('i3'))
    assert sorted(periods_with_holder_s) == [1, 1] + [10] * 17
    assert sorted(periods_without_holder_s)[:4] == [1, 1, 1, 2]
