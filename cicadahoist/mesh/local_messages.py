"""Messages between entry and control of one instance."""

import msgspec

from cicadahoist.errors import WireError
from cicadahoist.messages import InstanceInfo, Message


class EntryState(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """
    What the entry knows, sent to control in each period.

    :param own: identity of the entry
    :param live: instances that were heard of late
    :param not_gone: instances that may be running
    """

    own: InstanceInfo
    live: list[InstanceInfo]
    not_gone: list[InstanceInfo]


class Received(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A message of the mesh that control subscribes to."""

    sender: InstanceInfo
    message: Message


class SendToAll(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the entry to send a message to all instances, itself too."""

    message: Message


LocalMessage = EntryState | Received | SendToAll

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[LocalMessage] = msgspec.msgpack.Decoder(
    LocalMessage
)


def encode_local(message: LocalMessage) -> bytes:
    """Return the wire form (MessagePack) of a message."""
    return _encoder.encode(message)


def decode_local(wire: bytes) -> LocalMessage:
    """
    Decode a message.

    :raises WireError: the bytes are no message of this version
    """
    try:
        return _decoder.decode(wire)
    except msgspec.MsgspecError as error:
        raise WireError(
            f'undecodable local message: {error}',
            remedy='run the same version of entry and control',
        ) from error
