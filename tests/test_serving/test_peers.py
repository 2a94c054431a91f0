"""How closely standbys watch the lease of the duties."""

from cicadahoist.serving.peers import Peers


def test_only_a_few_standbys_look_at_the_lease_each_second():
    """Pattern: calls to the store that grow with the fleet."""
    names = [f'i{number}' for number in range(80)]
    looks_s = []
    for name in names:
        peers = Peers(name)
        for other in names:
            if other != name:
                peers.mark_alive(other, 1000)
        looks_s.append(peers.compute_check_period_s(2000))
    assert sorted(looks_s)[:4] == [1, 1, 1, 2]
    assert max(looks_s) == 10
    assert sum(1 / looked for looked in looks_s) < 15


def test_standbys_move_up_where_others_fall_silent():
    peers = Peers('i9')
    for number in range(40):
        peers.mark_alive(f'i-{number}', 1000)
    assert peers.compute_check_period_s(1000) > 1
    assert peers.compute_check_period_s(4001) == 1


def test_only_the_closest_standbys_look_while_the_holder_is_heard():
    names = [f'i{number}' for number in range(20)]
    heard, silent = [], []
    for name in names:
        peers = Peers(name)
        for other in names:
            if other != name:
                peers.mark_alive(other, 1000, holds_duties=other == 'i3')
        heard.append(peers.compute_check_period_s(3000))
        silent.append(peers.compute_check_period_s(3001))
    heard.pop(names.index('i3'))
    assert sorted(heard) == [1, 1] + [10] * 17
    assert sorted(silent)[:4] == [1, 1, 1, 2]
