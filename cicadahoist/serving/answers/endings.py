"""How answers of targets end, and who receives them."""

from enum import Enum
from typing import Protocol

from cicadahoist.requests import HeaderList


class AnswerEnding(Enum):
    """
    How the end of an answer is known.

    ``stated``: by its length or its last chunk. ``closed``: only by the clean
    close of its connection.
    """

    stated = 'stated'
    closed = 'closed'


class AnswerLoss(Enum):
    """
    Why an answer is incomplete, by its framing or by what it holds.

    ``foreign``: the end of an answer to another request is not known.
    ``joined``: its bytes hold the beginning of another answer, so that it
    cannot be told which are its own. ``too_long``: more than an answer, its
    overhead or an event may hold. ``no_memory``: this instance has no room for
    the answer.
    """

    closed = 'closed'
    reset = 'reset'
    malformed = 'malformed'
    foreign = 'foreign'
    joined = 'joined'
    too_long = 'too-long'
    no_memory = 'no-memory'


class Receiver(Protocol):
    """Receives the answer to one attempt."""

    def head_received(self, status: int, headers: HeaderList) -> bool:
        """
        Process the head of an answer.

        :return: whether it answers this attempt; if not, it is skipped
        """

    def body_received(self, piece: bytes) -> None:
        """Process a piece of the body."""

    def answer_ended(self, ending: AnswerEnding) -> None:
        """Process the end of an answer, as its framing shows it."""

    def answer_lost(self, cause: AnswerLoss) -> None:
        """Process the loss of the rest of the answer."""
