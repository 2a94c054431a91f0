"""Passes the platform's list of instances to the mesh."""

from random import Random
from typing import Any

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.mesh.background import Background
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import InstanceInfo
from cicadahoist.outside.platform import INSTANCE_LISTS, InstanceList
from cicadahoist.outside.platform_messages import ListedInstance
from cicadahoist.settings import INSTANCE_ADAPTER

logger = get_logger(__name__)

LIST_PERIOD_MS = 10_000


class InstanceListTask:
    """
    Reads the platform's list periodically.

    The list may lag.  It provides addresses to probe, and lets a silent
    instance that is not listed be considered gone; it never makes an
    instance live.

    :param instances: the platform's list
    :param node: the mesh node of this process
    :param clock: time source
    :param random: source of jitter, which spreads the calls of processes
    """

    __slots__ = ('_background', '_clock', '_instances', '_node', '_random')

    def __init__(
        self,
        instances: InstanceList,
        node: MeshNode,
        clock: Clock,
        random: Random | None = None,
    ) -> None:
        self._instances = instances
        self._node = node
        self._clock = clock
        self._random = random or Random()
        self._background = Background(clock, self._step)

    @classmethod
    def from_config(
        cls, config: Config, node: MeshNode, clock: Clock, reactor: Any
    ) -> 'InstanceListTask':
        """Return a task configured by the settings."""
        lists = INSTANCE_LISTS.get(config.read(INSTANCE_ADAPTER))
        return cls(lists.from_config(config, reactor), node, clock)

    async def start(self) -> None:
        """Start reading the list."""
        self._background.start()

    async def stop(self) -> None:
        """Stop reading the list."""
        self._background.stop()

    async def _step(self) -> None:
        try:
            listed = await self._instances.fetch_instances()
        except CicadahoistError as error:
            logger.debug('instance list not read: {0}', error)
        else:
            self._node.apply_instance_list(
                [_make_instance_info(each) for each in listed]
            )
        await self._clock.sleep(
            self._random.randint(LIST_PERIOD_MS // 2, LIST_PERIOD_MS)
        )


def _make_instance_info(listed: ListedInstance) -> InstanceInfo:
    return InstanceInfo(
        name=listed.name,
        zone=listed.zone,
        address=listed.address,
        port=listed.port,
        incarnation='',
    )
