"""Messages between an instance and the home of a service's slots."""

import msgspec


class Candidate(msgspec.Struct, frozen=True, array_like=True):
    """
    A target that can take a request.

    :param slots: requests that it runs at the same time
    :param cost_ms: time that it needs for this one
    """

    name: str
    slots: int
    cost_ms: int


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """
    A wish for a slot.

    :param number: number of the wish, unique at its instance
    :param pool: targets that do the same work
    :param max_wait_ms: longest wait for a slot
    """

    number: int
    pool: str
    max_wait_ms: int
    candidates: tuple[Candidate, ...]


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """
    A wish that is not over yet.

    :param target: target that has the request, empty while it has none
    :param cost_ms: time that the target needs for it
    """

    number: int
    pool: str
    target: str = ''
    cost_ms: int = 0


class SlotMessage(msgspec.Struct, frozen=True, array_like=True):
    """
    All open wishes of an instance at one service.

    It states the whole, so that a lost message is made good by the next one
    and a new home learns all.

    :param sequence: increases with each message of the sender
    :param asks: wishes that the home has not answered
    :param holdings: all wishes that are not over, those of ``asks`` included
    :param accepted: targets that have run requests since the last message
    :param rejected: targets that have rejected some since then
    :param is_repeat: whether the home is to answer also if it grants nothing,
        which shows that it is there
    """

    sender: str
    service: str
    sequence: int
    asks: tuple[Ask, ...] = ()
    holdings: tuple[Holding, ...] = ()
    accepted: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()
    is_repeat: bool = False


class SlotAnswer(msgspec.Struct, frozen=True, array_like=True):
    """
    Answer of the home to one wish.

    :param target: target with a free slot, empty for none yet
    :param retry_after_ms: when to come back as the wait would be too long, 0
        for a wish that waits for a slot
    """

    number: int
    target: str = ''
    retry_after_ms: int = 0
