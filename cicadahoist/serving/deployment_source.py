"""Tracks the configuration in force at this instance."""

from collections.abc import Callable
from typing import Any

from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import Change, StoredObject
from cicadahoist.rules import Deployment

logger = get_logger(__name__)


class DeploymentSource:
    """
    Applies configurations whose version is newer than the one in force.

    :param name: name of the object that holds the configuration
    :param decode: decodes the content of the object
    """

    __slots__ = ('_decode', '_listeners', '_name', 'current')

    def __init__(self, name: str, decode: Callable[[Any], Deployment]) -> None:
        self._name = name
        self._decode = decode
        self._listeners: list[Callable[[Deployment], None]] = []
        self.current: Deployment | None = None

    def on_change(self, action: Callable[[Deployment], None]) -> None:
        """Call ``action`` with each configuration that comes into force."""
        self._listeners.append(action)

    def apply_list(self, found: list[StoredObject]) -> None:
        """Apply the configuration in a list of objects."""
        for stored in found:
            self._apply(stored)

    def apply_change(self, change: Change) -> None:
        """Apply a change; a removed object leaves the last one in force."""
        if not change.is_removed:
            self._apply(change.stored)

    def _apply(self, stored: StoredObject) -> None:
        if stored.name != self._name:
            return
        try:
            deployment = self._decode(stored.spec)
        except WireError as error:
            logger.bind(revision=stored.revision).error('{0}', error)
            return
        current = self.current
        if current is not None and deployment.version <= current.version:
            return
        self.current = deployment
        logger.bind(
            version=deployment.version,
            revision=stored.revision,
            before=current.version if current else None,
        ).info('configuration in force')
        for action in self._listeners:
            action(deployment)
