"""Judges whether the end of a connection can end an answer."""

from typing import Any

from cicadahoist.outside.sockets import count_unsent_bytes, take_error


class ConnectionEnd:
    """
    The end of the input of a connection, as its socket shows it.

    RFC 9112, sections 6.3 and 9.6: a server that has read a request has also
    acknowledged it, so that a close before that may be one in the middle of the
    answer. The reset that follows such a close does not show when the close is
    read, and the event loop reports an error without input as a close.

    :param is_reset: whether an error is pending
    :param unsent_bytes: bytes that the peer has not acknowledged
    """

    __slots__ = ('is_reset', 'unsent_bytes')

    def __init__(self, unsent_bytes: int, *, is_reset: bool) -> None:
        self.unsent_bytes = unsent_bytes
        self.is_reset = is_reset

    @classmethod
    def from_transport(
        cls, transport: Any, unwritten_bytes: int = 0
    ) -> 'ConnectionEnd':
        """
        Judge a connection whose input has ended.

        :param transport: a twisted TCP transport that is not lost yet
        :param unwritten_bytes: bytes for the peer that the transport has not
            got yet
        """
        return cls(
            count_unsent_bytes(transport) + unwritten_bytes,
            is_reset=bool(take_error(transport)),
        )

    @property
    def is_clean(self) -> bool:
        """Whether the peer has closed after it took all that was sent."""
        return not self.is_reset and not self.unsent_bytes
