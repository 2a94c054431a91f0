"""Commands for prompt parts that are held because they crash engines."""

from typing import Annotated

import msgspec
import typer

from cicadahoist.clock import wall_ms
from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.exit_codes import NotFoundError
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.times import format_utc
from cicadahoist.errors import VersionConflictError, WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, list_all
from cicadahoist.policy.crash_containment import HOLD_MS, PartHold
from cicadahoist.serving.held_part_records import (
    HELD_PARTS_KIND,
    decode_record,
    get_object_name,
    release_hold,
)

logger = get_logger(__name__)

MAX_ATTEMPTS = 5

HELD = 'held'
RELEASED = 'released'
EXPIRED = 'expired'

parts = typer.Typer(
    help='Prompt parts held because they crash engines.', no_args_is_help=True
)

StoreOption = Annotated[
    str,
    typer.Option(
        '--platform-store',
        envvar='CICADAHOIST_PLATFORM_STORE',
        help="HOST:PORT of the platform's store; default: "
        '$CICADAHOIST_PLATFORM_STORE.',
    ),
]


class PartRow(msgspec.Struct, frozen=True, kw_only=True):
    """
    Printed row of one held part.

    :param state: ``held``, ``released`` by an operator, or ``expired``
    :param crashes: crashes after which it was held
    :param since: time of the hold, UTC
    :param until: time at which the hold ends by itself, UTC
    :param workspaces: workspaces whose requests are refused, or ``all``
    :param targets: engines that crashed
    """

    part: str
    state: str
    crashes: int
    since: str
    until: str
    workspaces: str
    targets: str

    @classmethod
    def from_hold(cls, hold: PartHold, now_ms: int) -> 'PartRow':
        """Return the row of a hold."""
        return cls(
            part=hold.part,
            state=_get_state(hold, now_ms),
            crashes=hold.crash_count,
            since=format_utc(hold.since_ms),
            until=format_utc(hold.since_ms + HOLD_MS),
            workspaces=','.join(hold.workspaces) or 'all',
            targets=','.join(hold.targets),
        )


@add_command(parts, 'list')
async def list_parts(session: Session, platform_store: StoreOption) -> None:
    """List the held parts, those released by operators included."""
    objects = session.open_objects(platform_store)
    holds = []
    for stored in await list_all(objects, HELD_PARTS_KIND):
        try:
            holds.append(decode_record(stored).hold)
        except WireError as error:
            logger.warning('stored hold not shown: {0}', error)
    now_ms = wall_ms()
    ordered = sorted(holds, key=lambda hold: (hold.since_ms, hold.part))
    session.show([PartRow.from_hold(hold, now_ms) for hold in ordered])


@add_command(parts, 'release')
async def release_part(
    session: Session,
    part: Annotated[str, typer.Argument(help='Digest of the part.')],
    platform_store: StoreOption,
) -> None:
    """Let a held part go; further crashes hold it again."""
    objects = session.open_objects(platform_store)
    for _ in range(MAX_ATTEMPTS):
        try:
            released = await _release(objects, part)
        except VersionConflictError as conflict:
            logger.info('the hold has just changed; retrying: {0}', conflict)
            continue
        session.show([PartRow.from_hold(released, wall_ms())])
        return
    raise VersionConflictError(
        f'the hold on part {part} keeps changing; it was not released',
        remedy='try again',
    )


async def _release(objects: ObjectStoreClient, part: str) -> PartHold:
    """Return the hold as released, or as it is if it already was."""
    name = get_object_name(part)
    stored = await objects.get(HELD_PARTS_KIND, name)
    if stored is None:
        raise NotFoundError(
            f'part {part} is not held', remedy='see the list of held parts'
        )
    record = decode_record(stored)
    if record.hold.is_released:
        return record.hold
    released = release_hold(record.hold)
    await objects.replace(
        HELD_PARTS_KIND, name, msgspec.to_builtins(released), record.revision
    )
    return released


def _get_state(hold: PartHold, now_ms: int) -> str:
    if hold.is_released:
        return RELEASED
    return EXPIRED if hold.has_expired(now_ms) else HELD
