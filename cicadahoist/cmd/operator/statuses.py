"""Command that shows the status of the whole deployment."""

import msgspec
import typer

from cicadahoist.clock import MS_PER_S, wall_ms
from cicadahoist.cmd.operator.leases import LeaseRow, read_leases
from cicadahoist.cmd.operator.output import (
    OutputFormat,
    align_columns,
    print_json,
)
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.times import format_utc
from cicadahoist.cmd.operator.usages import UsageLag, read_usage_names
from cicadahoist.errors import WireError
from cicadahoist.messages import ZoneStatus, zone_status_name
from cicadahoist.settings import USAGE_WINDOW

_decode_status = msgspec.json.Decoder(ZoneStatus).decode


class ZoneRow(msgspec.Struct, frozen=True, kw_only=True):
    """
    Printed row of one zone.

    :param revision: lowest revision in force on any live entry
    :param since: time from which the revision was in force, UTC
    :param behind: number of committed revisions not yet in force in the zone
    :param entries: number of live entries
    :param reported_s_ago: age of the status object in seconds
    """

    zone: str
    revision: int
    since: str
    behind: int
    entries: int
    reported_s_ago: int

    @classmethod
    def from_status(
        cls, status: ZoneStatus, head_revision: int, now_ms: int
    ) -> 'ZoneRow':
        """Return the row of the status object of a zone."""
        return cls(
            zone=status.zone,
            revision=status.revision,
            since=format_utc(status.since_ms),
            behind=max(0, head_revision - status.revision),
            entries=status.entries,
            reported_s_ago=max(0, now_ms - status.written_ms) // MS_PER_S,
        )


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """
    Output of the ``status`` command.

    :param revision: newest committed table revision
    """

    revision: int
    zones: list[ZoneRow]
    leases: list[LeaseRow]
    usage: UsageLag


async def show_status(session: Session) -> None:
    """Show the revision in force by zone, leases and the lag of usage."""
    head, _ = await session.table_store.read_head()
    view = StatusView(
        revision=head.revision,
        zones=await _read_zones(session, head.revision),
        leases=await read_leases(session),
        usage=await _read_usage_lag(session),
    )
    if session.output_format is OutputFormat.json:
        print_json(view)
    else:
        _print_sections(view)


async def _read_zones(session: Session, head_revision: int) -> list[ZoneRow]:
    now_ms = wall_ms()
    rows = []
    for name in sorted(await session.store.list_versions(zone_status_name(''))):
        stored = await session.store.read(name)
        if stored is not None:
            status = _decode_zone_status(stored.payload)
            rows.append(ZoneRow.from_status(status, head_revision, now_ms))
    return rows


async def _read_usage_lag(session: Session) -> UsageLag:
    names = await read_usage_names(session)
    window_ms = session.config.read(USAGE_WINDOW)
    return UsageLag.from_names(names, window_ms, wall_ms())


def _decode_zone_status(payload: bytes) -> ZoneStatus:
    try:
        return _decode_status(payload)
    except msgspec.MsgspecError as error:
        raise WireError(
            f'undecodable zone status: {error}',
            remedy='run the same version on all instances',
        ) from error


def _print_sections(view: StatusView) -> None:
    typer.echo(f'table revision {view.revision}')
    typer.echo('\nzones')
    typer.echo('\n'.join(align_columns(view.zones)))
    typer.echo('\nleases')
    typer.echo('\n'.join(align_columns(view.leases)))
    typer.echo('\nusage')
    typer.echo('\n'.join(align_columns([view.usage])))
