"""Messages between entry and control of one instance."""

import msgspec

from cicadahoist.codec import Codec
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

_codec: Codec[LocalMessage] = Codec.packed('local message', LocalMessage)
encode_local = _codec.encode
decode_local = _codec.decode
