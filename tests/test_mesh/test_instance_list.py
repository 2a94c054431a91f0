"""Use of the platform's instance list, which may lag or be unavailable.

The list provides addresses and decides when a silent instance is gone.  It
must neither end a live instance nor, when it cannot be read, change anything.
"""

from random import Random

from cicadahoist.errors import NotSentError
from cicadahoist.mesh.instance_list import LIST_PERIOD_MS, InstanceListTask
from cicadahoist.outside.platform_messages import ListedInstance
from tests.test_mesh.cluster import Cluster, run


class Platform:
    """Instance list with contents set by the test."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.is_unavailable = False

    async def fetch_instances(self):
        if self.is_unavailable:
            raise NotSentError('list unavailable', remedy='wait')
        return [
            ListedInstance(name=name, zone=name[0], address=name, port=1)
            for name in self.names
        ]


def start_listed_cluster(names: list[str]) -> tuple[Cluster, Platform]:
    cluster = Cluster({'a': 3}, seeded=False)
    platform = Platform(names)
    for node in cluster.nodes.values():
        task = InstanceListTask(platform, node, cluster.clock, Random(1))
        run(task.start())
    return cluster, platform


def test_instances_discover_each_other_through_the_list():
    cluster, _ = start_listed_cluster(['a0', 'a1', 'a2'])
    cluster.advance(5000)
    assert cluster.views() == {frozenset(cluster.nodes)}


def test_silent_instance_is_not_gone_until_it_is_unlisted():
    cluster, platform = start_listed_cluster(['a0', 'a1', 'a2'])
    cluster.advance(5000)
    cluster.kill('a2')
    cluster.advance(2 * LIST_PERIOD_MS)
    view = cluster.nodes['a0'].view
    assert 'a2' not in view.live()
    assert 'a2' in view.not_gone()
    platform.names = ['a0', 'a1']
    cluster.advance(LIST_PERIOD_MS)
    assert 'a2' not in view.not_gone()


def test_unlisted_instance_stays_live_while_it_sends_heartbeats():
    cluster, platform = start_listed_cluster(['a0', 'a1', 'a2'])
    cluster.advance(5000)
    platform.names = []
    cluster.advance(2 * LIST_PERIOD_MS)
    assert cluster.views() == {frozenset(cluster.nodes)}


def test_list_that_is_unavailable_changes_nothing():
    cluster, platform = start_listed_cluster(['a0', 'a1', 'a2'])
    cluster.advance(5000)
    platform.is_unavailable = True
    cluster.kill('a2')
    cluster.advance(3 * LIST_PERIOD_MS)
    assert 'a2' in cluster.nodes['a0'].view.not_gone()
