"""Stored records of the holds on prompt parts that crash engines."""

import msgspec

from cicadahoist.errors import WireError
from cicadahoist.ids import body_digest
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, StoredObject
from cicadahoist.policy.crash_containment import (
    MAX_HOLDS,
    PartHold,
    join_holds,
)

logger = get_logger(__name__)

HELD_PARTS_KIND = 'cicadahoist-held-parts'
MAX_STORED_PARTS = MAX_HOLDS
# Instances that see the same crashes decide a hold within this time of each
# other. Their decisions count as one.
SAME_DECISION_MS = 5000


class HeldPartRecord(msgspec.Struct, frozen=True):
    """
    A stored hold.

    :param name: name of the object
    :param revision: store revision of the object
    """

    name: str
    revision: int
    hold: PartHold


def get_object_name(part: str) -> str:
    """Return the object name of a part, whose digest is any text."""
    return body_digest(part.encode())


def decode_record(stored: StoredObject) -> HeldPartRecord:
    """
    Decode the object of one hold.

    :raises WireError: the content is invalid, or belongs to another name
    """
    try:
        hold = msgspec.convert(stored.spec, PartHold)
    except msgspec.ValidationError as error:
        raise WireError(
            f'hold {stored.name} is invalid: {error}',
            remedy='delete the object, or run the same version everywhere',
        ) from error
    if stored.name != get_object_name(hold.part):
        raise WireError(
            f'hold {stored.name} is of another part, {hold.part}',
            remedy='delete the object',
        )
    return HeldPartRecord(stored.name, stored.revision, hold)


def is_covered(hold: PartHold, stored: PartHold) -> bool:
    """
    Return whether a stored hold says the same as another one of its part.

    Further crashes and decisions at about the same time are no difference.
    """
    if hold.released_ms > stored.released_ms:
        return False
    is_recent = stored.since_ms >= hold.since_ms - SAME_DECISION_MS
    covered = not stored.workspaces or (
        bool(hold.workspaces) and set(hold.workspaces) <= set(stored.workspaces)
    )
    return is_recent and covered


def release_hold(hold: PartHold) -> PartHold:
    """
    Return a hold as released, with all decisions that count as the same.

    The time comes from the hold, so that the clock of whoever releases it does
    not matter.
    """
    return msgspec.structs.replace(
        hold, released_ms=hold.since_ms + SAME_DECISION_MS
    )


async def write_hold(objects: ObjectStoreClient, hold: PartHold) -> bool:
    """
    Store a hold, joined with the stored one of its part.

    :return: whether the store lacked it
    :raises VersionConflictError: another writer changed the object meanwhile
    """
    name = get_object_name(hold.part)
    stored = await objects.get(HELD_PARTS_KIND, name)
    if stored is None:
        await objects.create(HELD_PARTS_KIND, name, msgspec.to_builtins(hold))
        return True
    joined = _join_stored(stored, hold)
    if joined is None:
        return False
    await objects.replace(
        HELD_PARTS_KIND, name, msgspec.to_builtins(joined), stored.revision
    )
    return True


def _join_stored(stored: StoredObject, hold: PartHold) -> PartHold | None:
    """Return what is to be stored, none for no change."""
    try:
        record = decode_record(stored)
    except WireError as error:
        logger.warning('stored hold replaced: {0}', error)
        return hold
    if is_covered(hold, record.hold):
        return None
    return join_holds(record.hold, hold)
