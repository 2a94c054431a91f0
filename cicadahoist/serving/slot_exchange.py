"""Asks the home of a service for slots, and is the home of some services."""

from collections.abc import Callable
from typing import Any

import msgspec

from cicadahoist.clock import Clock, Timer
from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.policy.balancing.home_rank import HomeRank
from cicadahoist.policy.balancing.slot_home import SlotHome
from cicadahoist.policy.balancing.slot_messages import (
    Candidate,
    SlotAnswer,
    SlotMessage,
)
from cicadahoist.serving.slot_wishes import SlotWish, WishBook, WishState

logger = get_logger(__name__)

# First byte of these datagrams; no load report begins with it.
SLOT_MARK = b'G'
# Wishes of the same moment share a datagram.
GATHER_MS = 1
# The home is 0.4 to 4 ms away; a busy one takes longer to read.
ANSWER_TIMEOUT_MS = 40
# Wishes that are not over are stated this often, as datagrams may be lost.
REPEAT_MS = 400

Address = tuple[str, int]


class SlotDatagram(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: the wishes of an instance, or answers to them."""

    service: str
    message: SlotMessage | None = None
    answers: tuple[SlotAnswer, ...] = ()


_codec: Codec[SlotDatagram] = Codec.packed('slot message', SlotDatagram)


class SlotExchange:
    """
    Wishes of this instance for slots, and the homes that it is.

    :param clock: clock of the process
    """

    __slots__ = (
        '_address_by_peer',
        '_clock',
        '_heard_ms_by_service',
        '_home_by_service',
        '_instance',
        '_list_alive',
        '_rank',
        '_repeat_timer',
        '_sequence',
        '_timer_by_service',
        '_transmit',
        'wishes',
    )

    def __init__(self, clock: Clock) -> None:
        self._address_by_peer: dict[str, Address] = {}
        self._clock = clock
        # When the home of a service was last heard.
        self._heard_ms_by_service: dict[str, int] = {}
        self._home_by_service: dict[str, SlotHome] = {}
        self._rank = HomeRank()
        self._repeat_timer: Timer | None = None
        self._sequence = 0
        self._timer_by_service: dict[str, Timer] = {}
        self.wishes = WishBook(clock)
        # Name of this instance.
        self._instance = ''
        # Returns the peers that are alive.
        self._list_alive: Callable[[int], list[str]] = _list_none
        # Sends a datagram to a peer.
        self._transmit: Callable[[bytes, Address], None] = _drop

    def start(
        self,
        instance: str,
        list_alive: Callable[[int], list[str]],
        transmit: Callable[[bytes, Address], None],
    ) -> None:
        """
        Begin to exchange datagrams with peers.

        :param instance: name of this instance
        :param list_alive: returns the peers that are alive
        :param transmit: sends a datagram to a peer
        """
        self._instance = instance
        self._list_alive = list_alive
        self._transmit = transmit

    def set_peers(self, address_by_peer: dict[str, Address]) -> None:
        """Replace the addresses of all other instances."""
        self._address_by_peer = address_by_peer

    async def ask(
        self,
        service: str,
        pool: str,
        candidates: tuple[Candidate, ...],
        max_wait_ms: int,
    ) -> SlotWish:
        """
        Ask for a slot, and return the wish once it is decided.

        The caller ends the wish in any case.

        :param pool: targets that do the same work
        :param candidates: the targets among which the home chooses
        :param max_wait_ms: longest wait for a slot
        """
        now_ms = self._clock.now_ms()
        wish = self.wishes.get(service).add(
            pool, candidates, max_wait_ms, now_ms
        )
        self._schedule(service)
        self._clock.call_later(
            GATHER_MS + ANSWER_TIMEOUT_MS,
            self._check_home,
            service,
            now_ms,
            wish,
        )
        if self._repeat_timer is None:
            self._repeat_timer = self._clock.call_later(REPEAT_MS, self._repeat)
        await wish.wait()
        return wish

    def take(self, service: str, wish: SlotWish, target: str) -> None:
        """State where a request is sent, if the home has not decided it."""
        if self.wishes.get(service).take(wish, target):
            self._schedule(service)

    def end(
        self, service: str, wish: SlotWish, *, is_rejected: bool | None
    ) -> None:
        """
        State that a request is over, so that its slot is free.

        :param is_rejected: whether its target has rejected it, none if it says
            nothing about the target
        """
        self.wishes.get(service).end(wish, is_rejected=is_rejected)
        self._schedule(service)

    def receive(self, datagram: bytes) -> None:
        """Process a datagram of a peer; drop one that cannot be read."""
        try:
            decoded = _codec.decode(datagram[len(SLOT_MARK) :])
        except WireError as error:
            logger.info('{0}', error)
            return
        if decoded.message is None:
            self._apply_answers(decoded.service, decoded.answers)
        else:
            self._act_as_home(decoded.message)

    def _schedule(self, service: str) -> None:
        """Send the wishes at a service soon."""
        timer = self._timer_by_service.get(service)
        if timer is None or not timer.active():
            self._timer_by_service[service] = self._clock.call_later(
                GATHER_MS, self._send_wishes, service
            )

    def _repeat(self) -> None:
        """State open wishes again, and stop once there are none."""
        open_services = [
            wishes.service
            for wishes in self.wishes.list_all()
            if wishes.has_open
        ]
        for service in open_services:
            self._send_wishes(service, is_repeat=True)
            self._clock.call_later(
                ANSWER_TIMEOUT_MS,
                self._check_home,
                service,
                self._clock.now_ms(),
            )
        self._repeat_timer = None
        if open_services:
            self._repeat_timer = self._clock.call_later(REPEAT_MS, self._repeat)

    def _send_wishes(self, service: str, *, is_repeat: bool = False) -> None:
        now_ms = self._clock.now_ms()
        home = self._rank.find_kept(service, now_ms)
        if home is None:
            home = self._choose_home(service, now_ms)
        # A process that starts again goes on with higher numbers.
        self._sequence = max(self._sequence + 1, now_ms)
        message = self.wishes.get(service).build_message(
            self._instance, self._sequence, is_repeat=is_repeat
        )
        if home == self._instance:
            self._act_as_home(message)
        else:
            self._send(home, SlotDatagram(service, message))

    def _choose_home(self, service: str, now_ms: int) -> str:
        peers = [
            peer
            for peer in self._list_alive(now_ms)
            if peer in self._address_by_peer
        ]
        return self._rank.choose(service, [self._instance, *peers], now_ms)

    def _act_as_home(self, message: SlotMessage) -> None:
        """Grant slots, and tell those that get them."""
        service = message.service
        home = self._home_by_service.get(service)
        if home is None:
            home = SlotHome()
            self._home_by_service[service] = home
            logger.bind(service=service, first=message.sender).info(
                'granting the slots of a service'
            )
        answers_by_sender: dict[str, list[SlotAnswer]] = {}
        if message.is_repeat:
            answers_by_sender[message.sender] = []
        for sender, answer in home.apply(message, self._clock.now_ms()):
            answers_by_sender.setdefault(sender, []).append(answer)
        for name, answers in answers_by_sender.items():
            if name == self._instance:
                self._apply_answers(service, tuple(answers))
            else:
                self._send(name, SlotDatagram(service, answers=tuple(answers)))

    def _apply_answers(
        self, service: str, answers: tuple[SlotAnswer, ...]
    ) -> None:
        self._rank.record_answer(service)
        self._heard_ms_by_service[service] = self._clock.now_ms()
        wishes = self.wishes.get(service)
        for answer in answers:
            wish = wishes.apply(answer)
            if wish is None and answer.target:
                # The grant has come too late; the next message frees the slot.
                self._schedule(service)
            elif wish is not None and wish.is_undecided:
                self._clock.call_later(
                    wish.ask.max_wait_ms + ANSWER_TIMEOUT_MS,
                    self._ask_again,
                    service,
                    wish,
                )

    def _ask_again(self, service: str, wish: SlotWish) -> None:
        """Ask the home once more for a wish that has waited for too long."""
        if wish.is_undecided:
            self._schedule(service)
            self._clock.call_later(GATHER_MS + ANSWER_TIMEOUT_MS, wish.give_up)

    def _check_home(
        self, service: str, asked_ms: int, wish: SlotWish | None = None
    ) -> None:
        """
        Pass over a home that has not answered, and tell the next one all.

        :param asked_ms: when it was asked
        :param wish: what it was asked, none for a repetition
        """
        now_ms = self._clock.now_ms()
        if self._heard_ms_by_service.get(service, -1) < asked_ms:
            home = self._rank.record_silence(service, now_ms)
            if home:
                logger.bind(service=service, home=home).info(
                    'home of slots does not answer'
                )
                self._schedule(service)
        if wish is not None and wish.state is WishState.asked:
            wish.give_up()

    def _send(self, peer: str, datagram: SlotDatagram) -> None:
        address = self._address_by_peer.get(peer)
        if address is not None:
            self._transmit(SLOT_MARK + _codec.encode(datagram), address)


def _list_none(now_ms: int) -> list[str]:
    """Know no peers: the exchange with them has not started."""
    return []


def _drop(datagram: bytes, address: Any) -> None:
    """Send nothing: the exchange with peers has not started."""
