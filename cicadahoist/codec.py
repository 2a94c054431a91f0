"""Typed encoding of messages and stored objects."""

from typing import Any, Generic, TypeVar

import msgspec

from cicadahoist.errors import WireError

Typed = TypeVar('Typed')


class Codec(Generic[Typed]):
    """
    Encodes and decodes values of one type.

    :param kind: kind of value, for error messages
    :param encoder: msgspec encoder
    :param decoder: msgspec decoder of the type
    """

    __slots__ = ('_decoder', '_encoder', '_kind')

    def __init__(self, kind: str, encoder: Any, decoder: Any) -> None:
        self._kind = kind
        self._encoder = encoder
        self._decoder = decoder

    @classmethod
    def packed(cls, kind: str, typed: Any) -> 'Codec[Any]':
        """Return a MessagePack codec, for messages between processes."""
        encoder = msgspec.msgpack.Encoder()
        return cls(kind, encoder, msgspec.msgpack.Decoder(typed))

    @classmethod
    def stored(cls, kind: str, typed: Any) -> 'Codec[Any]':
        """Return a JSON codec, for objects in the store."""
        encoder = msgspec.json.Encoder()
        return cls(kind, encoder, msgspec.json.Decoder(typed))

    def encode(self, content: Typed) -> bytes:
        """Return the encoded form."""
        return self._encoder.encode(content)

    def decode(self, wire: bytes) -> Typed:
        """
        Decode a value.

        :raises WireError: the bytes do not encode a value of this type
        """
        try:
            return self._decoder.decode(wire)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise WireError(
                f'undecodable {self._kind}: {error}',
                remedy='run the same version on all instances',
            ) from error
