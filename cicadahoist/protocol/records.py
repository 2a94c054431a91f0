"""Contents of a lease object in the store."""

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.ids import fast_hash

# Epochs of one era of the store lie below those of the next one.
EPOCHS_PER_ERA = 1_000_000
# Epochs of an era among which claims choose by the holder. The others are left
# for claims that count on by one, so that duties never run out of epochs.
CHOSEN_EPOCHS = 900_000
# Part of the chosen epochs left in an era from which a claim takes one.
CLAIM_SHARE = 64
# A build that does not choose adds one to the epoch of the record.
PLAIN_STEP = 1


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """
    The last order to one target.

    :param epoch: epoch of the holder that wrote the entry
    :param seq: sequence number, increasing with each order of one lease object
    :param kind: kind of the order in terms of the target's interface
    :param argument: argument of the order
    :param settled: whether the outcome is known
    """

    target: str
    epoch: int
    seq: int
    kind: str
    argument: str = ''
    settled: bool = False

    @property
    def token(self) -> str:
        """Idempotency token sent with the order."""
        return f'{self.epoch}.{self.seq}'


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """
    A lease and its order journal.

    :param epoch: fencing token, increasing each time the lease is won, also
        where the store has come back from an older copy since
    :param holder: name and incarnation of the holder
    :param nonce: unique value of each write
    :param released: whether the holder released the lease
    :param seq: highest sequence number assigned to an order
    :param orders: last order by target
    """

    epoch: int = 0
    holder: str = ''
    nonce: str = ''
    released: bool = False
    seq: int = 0
    orders: dict[str, JournalEntry] = {}

    @property
    def are_orders_settled(self) -> bool:
        """Whether the outcome of every order is known."""
        return all(entry.settled for entry in self.orders.values())


def compute_next_epoch(epoch: int, era: int, holder: str) -> int:
    """
    Return the epoch of the next holder of a lease.

    A hash of the holder keeps epochs of different holders apart also where they
    are computed from the same record.

    :param epoch: highest epoch known; the record may be an older copy
    :param era: era of the store
    :param holder: name and incarnation of the next holder
    """
    era_start = era * EPOCHS_PER_ERA
    newest = max(epoch, era_start)
    width = (era_start + CHOSEN_EPOCHS - newest) // CLAIM_SHARE
    if width <= 1:
        return newest + PLAIN_STEP
    return newest + PLAIN_STEP + 1 + fast_hash(holder) % width


def get_era(epoch: int) -> int:
    """Return the era of the store in which a lease was won."""
    return epoch // EPOCHS_PER_ERA


_codec: Codec[LeaseRecord] = Codec.stored('lease', LeaseRecord)
encode_record = _codec.encode


def decode_record(payload: bytes) -> LeaseRecord:
    """
    Decode a record.

    :param payload: encoded record, empty for an object that does not exist
    :raises WireError: the payload is not a record of this version
    """
    if not payload:
        return LeaseRecord()
    return _codec.decode(payload)


def lease_name(zone: str, duty: str) -> str:
    """
    Return the name of a lease object.

    :param zone: name of the zone, or ``usage`` for a usage shard
    :param duty: ``engines``, ``targets`` or the number of a usage shard
    """
    return f'leases/{zone}/{duty}'
