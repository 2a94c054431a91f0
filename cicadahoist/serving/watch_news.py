"""Messages by which readers of the store tell their zone its changes."""

import zlib

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import Change

logger = get_logger(__name__)

# First byte of these datagrams; no load report begins with it.
WATCH_MARK = b'W'
# First byte of those that are compressed, as a reader sends them to its whole
# zone over its own link.
PACKED_MARK = b'Z'
# Messages up to this length fit into one packet.
MAX_PLAIN_BYTES = 1200
# Changes whose message would be longer are not told; members read them. When
# engines change roles in a group, some 40 entries of 300 bytes change at once.
MAX_NEWS_BYTES = 16_000
# Bounds the memory for a message of a faulty instance: four objects of the
# greatest size in the store.
MAX_UNPACKED_BYTES = 4_194_304


class KindNews(msgspec.Struct, frozen=True, array_like=True):
    """
    State of the objects of one kind at a reader.

    :param era: era of the store
    :param as_of: revision of the store up to which the state is complete
    :param changed_at: revision of the last change that the reader has seen; an
        instance that has reached it lacks no change
    :param age_ms: age of the state
    :param changed_before: value of `changed_at` before the changes
    :param changes: latest changes, oldest first; none in heartbeats and where
        they are too long for a message
    :param answer_ms: time from the moment up to which the state is complete to
        the answer of the store
    :param has_omitted: whether changes were left out, as they are too long
    """

    kind: str
    era: int
    as_of: int
    changed_at: int
    age_ms: int
    changed_before: int = 0
    changes: tuple[Change, ...] = ()
    answer_ms: int = 0
    has_omitted: bool = False

    def lacks_changes_since(self, revision: int) -> bool:
        """Return whether there were changes since then that are not told."""
        if self.changed_at <= revision:
            return False
        return not self.changes or self.changed_before > revision


class WatchMessage(msgspec.Struct, frozen=True, array_like=True):
    """
    One datagram of a reader, or without news a question for its clock.

    :param sender: unique name of the process that sends it
    :param sent_ms: reading of its clock
    :param asked_ms: `sent_ms` of the question that this answers, none for news
        and questions
    """

    sender: str
    sent_ms: int
    news: tuple[KindNews, ...]
    asked_ms: int | None = None


watch_codec: Codec[WatchMessage] = Codec.packed('watch news', WatchMessage)


def list_unapplied(
    changes: tuple[Change, ...], revision: int
) -> tuple[Change, ...]:
    """
    Return the changes after the last one that surely was applied before.

    The revision of a removed object may be that of its last content, so that it
    does not tell whether the removal was applied. To apply a removal again does
    no harm where no later change of the object was applied.

    :param changes: changes, oldest first
    :param revision: revision whose state was applied
    """
    first = 0
    for position, change in enumerate(changes, 1):
        if not change.is_removed and change.stored.revision <= revision:
            first = position
    return changes[first:]


def encode_news(message: WatchMessage) -> bytes:
    """
    Return the datagram of a message.

    Changes that are too long, or that the encoding has no form for, are left
    out; members read them from the store.
    """
    try:
        datagram = _pack(watch_codec.encode(message))
    except (OverflowError, RecursionError, UnicodeError) as error:
        logger.info('changes not told to the zone: {0}', error)
    else:
        if len(datagram) <= MAX_NEWS_BYTES:
            return datagram
        logger.bind(message_bytes=len(datagram)).info(
            'changes not told to the zone: too long'
        )
    shortened = tuple(
        msgspec.structs.replace(
            news, changes=(), has_omitted=bool(news.changes)
        )
        for news in message.news
    )
    return _pack(
        watch_codec.encode(msgspec.structs.replace(message, news=shortened))
    )


def decode_news(datagram: bytes) -> WatchMessage:
    """
    Return the message of a datagram.

    :raises WireError: the datagram has no message, or not the whole of it
    """
    mark, encoded = datagram[:1], datagram[1:]
    if mark == PACKED_MARK:
        encoded = _unpack(encoded)
    return watch_codec.decode(encoded)


def _pack(encoded: bytes) -> bytes:
    if len(encoded) <= MAX_PLAIN_BYTES or len(encoded) > MAX_UNPACKED_BYTES:
        return WATCH_MARK + encoded
    return PACKED_MARK + zlib.compress(encoded, zlib.Z_BEST_SPEED)


def _unpack(packed: bytes) -> bytes:
    """
    Return the bytes of a compressed message.

    :raises WireError: they are cut off, too long or not compressed
    """
    unpacking = zlib.decompressobj()
    try:
        encoded = unpacking.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise _make_unpacking_error(str(error)) from error
    if not unpacking.eof:
        raise _make_unpacking_error('incomplete, or too long')
    return encoded


def _make_unpacking_error(cause: str) -> WireError:
    return WireError(
        f'watch news cannot be unpacked: {cause}',
        remedy='run the same version on all instances',
    )
