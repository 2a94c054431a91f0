"""Applies the stored holds on prompt parts."""

from collections.abc import Callable

from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import StoredObject
from cicadahoist.policy.crash_containment import PartHold
from cicadahoist.serving.gossip import Gossip
from cicadahoist.serving.held_part_records import decode_record

logger = get_logger(__name__)


class HeldPartsReader:
    """
    Merges each list of stored holds into those that this instance knows.

    :param gossip: the holds that this instance knows, and its evidence
    :param true_ms: wall-clock time, corrected for steps
    """

    __slots__ = ('_evidence', '_held_parts', '_invalid_objects', '_true_ms')

    def __init__(self, gossip: Gossip, true_ms: Callable[[], int]) -> None:
        self._evidence = gossip.crash_evidence
        self._held_parts = gossip.held_parts
        self._true_ms = true_ms
        # Objects that were found invalid and logged.
        self._invalid_objects: set[tuple[str, int]] = set()

    def apply_list(self, found: list[StoredObject]) -> None:
        """Apply all stored holds, and drop what has expired."""
        true_ms = self._true_ms()
        held_before = self._list_held_parts(true_ms)
        invalid_objects = set()
        for stored in found:
            try:
                hold = decode_record(stored).hold
            except WireError as error:
                invalid_objects.add((stored.name, stored.revision))
                self._report_invalid(stored, error)
                continue
            if hold.is_in_force(true_ms):
                self._evidence.explain(hold.part, hold.workspaces)
            if not hold.has_expired(true_ms):
                self._held_parts.merge(hold)
        self._invalid_objects = invalid_objects
        self._held_parts.drop_expired(true_ms)
        held_after = self._list_held_parts(true_ms)
        for part in held_after.keys() - held_before.keys():
            _report(held_after[part], 'prompt part held, as stored')
        for gone in held_before.keys() - held_after.keys():
            _report(held_before[gone], 'prompt part released')

    def _list_held_parts(self, true_ms: int) -> dict[str, PartHold]:
        holds = self._held_parts.list_holds(true_ms)
        return {hold.part: hold for hold in holds}

    def _report_invalid(self, stored: StoredObject, error: WireError) -> None:
        if (stored.name, stored.revision) not in self._invalid_objects:
            logger.bind(revision=stored.revision).warning(
                'stored hold ignored: {0}', error
            )


def _report(hold: PartHold, message: str) -> None:
    logger.bind(
        part=hold.part,
        crashes=hold.crash_count,
        targets=hold.targets,
        workspaces=hold.workspaces,
    ).info(message)
