"""Messages between the entry and control processes of one instance."""

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.messages import InstanceInfo, Message


class EntryState(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """
    Membership as the entry sees it, sent to control periodically.

    :param own: identity of the entry
    :param live: instances that were heard recently
    :param not_gone: instances that may still be running
    """

    own: InstanceInfo
    live: list[InstanceInfo]
    not_gone: list[InstanceInfo]


class Received(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A mesh message that is forwarded to control."""

    sender: InstanceInfo
    message: Message


class SendToAll(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request to the entry to broadcast a message, itself included."""

    message: Message


LocalMessage = EntryState | Received | SendToAll

_codec: Codec[LocalMessage] = Codec.packed('local message', LocalMessage)
encode_local = _codec.encode
decode_local = _codec.decode
