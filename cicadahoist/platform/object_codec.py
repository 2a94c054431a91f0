"""
Decodes the answers of the platform's store.

Anybody may write objects: one that cannot be decoded must not hide the others
of its answer.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import Change, Changes, ObjectPage, StoredObject
from cicadahoist.outside.json_pieces import split_array, split_object

logger = get_logger(__name__)


class _WireMetadata(msgspec.Struct, rename='kebab', kw_only=True):
    name: str = ''
    revision: int = 0


class _WireObject(msgspec.Struct, rename='kebab', kw_only=True):
    metadata: _WireMetadata
    spec: Any = None
    status: Any = None


class _WirePage(msgspec.Struct, rename='kebab', kw_only=True):
    items: list[_WireObject] = []
    has_more: bool = False
    # Revision of the whole store, from which a watch continues.
    as_of: int = 0


class _WireEvent(msgspec.Struct, rename='kebab', kw_only=True):
    object: _WireObject
    deleted: bool = False


class _WireEvents(msgspec.Struct, rename='kebab', kw_only=True):
    events: list[_WireEvent] = []
    as_of: int = 0


# What decoders raise for texts that they cannot decode.
_UNDECODABLE = (msgspec.MsgspecError, RecursionError, UnicodeError, ValueError)

_decode_any = msgspec.json.Decoder().decode
_decode_object = msgspec.json.Decoder(_WireObject).decode
_decode_page = msgspec.json.Decoder(_WirePage).decode
_decode_events = msgspec.json.Decoder(_WireEvents).decode
_decode_bool = msgspec.json.Decoder(bool).decode
_decode_int = msgspec.json.Decoder(int).decode
_decode_text = msgspec.json.Decoder(str).decode

Decoded = TypeVar('Decoded')


def decode_object(text: bytes) -> StoredObject:
    """
    Decode one object.

    :raises WireError: it cannot be told which object it is
    """
    try:
        return _to_stored_object(_decode_object(text))
    except _UNDECODABLE:
        return _decode_pieces(text)


def decode_page(text: bytes) -> ObjectPage:
    """
    Decode a list of objects; those that nothing is known of are left out.

    :raises WireError: the text is no list
    """
    try:
        wire = _decode_page(text)
    except _UNDECODABLE:
        return _decode_page_pieces(text)
    found = [_to_stored_object(entry) for entry in wire.items]
    return ObjectPage(found, wire.has_more, wire.as_of)


def decode_changes(text: bytes) -> Changes:
    """
    Decode the answer to a watch; events of unknown objects are left out.

    :raises WireError: the text is no such answer
    """
    try:
        wire = _decode_events(text)
    except _UNDECODABLE:
        return _decode_changes_pieces(text)
    changes = [
        Change(_to_stored_object(event.object), event.deleted)
        for event in wire.events
    ]
    return Changes(changes, wire.as_of)


def _decode_page_pieces(text: bytes) -> ObjectPage:
    members = split_object(text)
    return ObjectPage(
        _decode_each(decode_object, members.get('items', b'[]')),
        _decode_member(_decode_bool, members.get('has-more', b'false')),
        _decode_member(_decode_int, members.get('as-of', b'0')),
    )


def _decode_changes_pieces(text: bytes) -> Changes:
    members = split_object(text)
    return Changes(
        _decode_each(_decode_change, members.get('events', b'[]')),
        _decode_member(_decode_int, members.get('as-of', b'0')),
    )


def _decode_each(
    decode: Callable[[bytes], Decoded], text: bytes
) -> list[Decoded]:
    """Return the elements of an array that can be decoded."""
    decoded = []
    for element in split_array(text):
        try:
            decoded.append(decode(element))
        except WireError as error:
            logger.warning('object of the store skipped: {0}', error)
    return decoded


def _decode_change(text: bytes) -> Change:
    members = split_object(text)
    return Change(
        decode_object(members.get('object', b'')),
        _decode_member(_decode_bool, members.get('deleted', b'false')),
    )


def _decode_pieces(text: bytes) -> StoredObject:
    """Decode an object of which a part cannot be decoded; that part is none."""
    members = split_object(text)
    metadata = _decode_metadata_pieces(members.get('metadata', b''))
    contents = {}
    for key in ('spec', 'status'):
        try:
            contents[key] = _decode_any(members.get(key, b'null'))
        except _UNDECODABLE as error:
            contents[key] = None
            logger.bind(
                object=metadata.name, revision=metadata.revision
            ).warning('{0} of an object ignored: {1}', key, error)
    return StoredObject(
        metadata.name, metadata.revision, contents['spec'], contents['status']
    )


def _decode_metadata_pieces(text: bytes) -> _WireMetadata:
    members = split_object(text)
    return _WireMetadata(
        name=_decode_member(_decode_text, members.get('name', b'""')),
        revision=_decode_member(_decode_int, members.get('revision', b'0')),
    )


def _decode_member(decode: Callable[[bytes], Decoded], text: bytes) -> Decoded:
    try:
        return decode(text)
    except _UNDECODABLE as error:
        raise WireError(
            f'undecodable part of an object: {error}',
            remedy='see who writes to the store',
        ) from error


def _to_stored_object(wire: _WireObject) -> StoredObject:
    return StoredObject(
        wire.metadata.name, wire.metadata.revision, wire.spec, wire.status
    )
