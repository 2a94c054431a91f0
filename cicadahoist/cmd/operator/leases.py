"""Commands for the leases of control duties."""

import msgspec
import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.session import Session
from cicadahoist.protocol.records import LeaseRecord, decode_record

LEASE_PREFIX = 'leases/'

leases = typer.Typer(help='Leases of the control duties.', no_args_is_help=True)


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """
    Printed row of one lease.

    :param zone: the zone, or ``usage`` for a usage shard
    :param duty: duty, or number of a usage shard
    :param version: version of the lease object, which each renewal increases
    :param unsettled: number of orders whose outcome is not known yet
    """

    zone: str
    duty: str
    holder: str
    epoch: int
    released: bool
    unsettled: int
    version: int

    @classmethod
    def from_record(
        cls, name: str, version: int, record: LeaseRecord
    ) -> 'LeaseRow':
        """Return the row of a lease object."""
        zone, _, duty = name.removeprefix(LEASE_PREFIX).partition('/')
        return cls(
            zone=zone,
            duty=duty,
            holder=record.holder,
            epoch=record.epoch,
            released=record.released,
            unsettled=sum(
                not order.settled for order in record.orders.values()
            ),
            version=version,
        )


async def read_leases(session: Session) -> list[LeaseRow]:
    """Return the rows of all leases, sorted by zone and duty."""
    rows = []
    for name in sorted(await session.store.list_versions(LEASE_PREFIX)):
        stored = await session.store.read(name)
        if stored is not None:
            record = decode_record(stored.payload)
            rows.append(LeaseRow.from_record(name, stored.version, record))
    return rows


@add_command(leases, 'list')
async def list_leases(session: Session) -> None:
    """List leases with their holders and epochs (fencing tokens)."""
    session.show(await read_leases(session))
