"""Shares with other instances which software version began a stream."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.ids import rendezvous
from cicadahoist.log import get_logger
from cicadahoist.policy.service_versions import ServiceVersions
from cicadahoist.policy.stream_origins import Origin, StreamOrigins

logger = get_logger(__name__)

# First byte of these datagrams; no load report begins with it.
STREAM_MARK = b'S'
# Instances that hold the origin of a stream besides the one at which it began,
# in different zones where there are any.
REPLICA_COUNT = 3
# Instances that are asked, the replicas first: some may have restarted, and in
# a small fleet the instance at which the stream began is among them.
ASKED_COUNT = 12
# Peers are a few ms away; one that has ended does not answer at all.
ANSWER_TIMEOUT_MS = 100
MAX_ORIGINS_PER_DATAGRAM = 20

Address = tuple[str, int]


class Question(msgspec.Struct, frozen=True, array_like=True):
    """A question for the version that began a stream."""

    attempt_id: str
    service: str


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """
    What an instance knows of the version that began a stream.

    :param version: the version, none if this instance does not know it
    :param only_version: version of all open streams of the service, none if
        they may differ or it is not known
    :param is_mixed: whether open streams of the service may differ
    """

    attempt_id: str
    version: str | None
    only_version: str | None
    is_mixed: bool


class StreamMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: streams that began, questions and answers."""

    origins: tuple[Origin, ...] = ()
    questions: tuple[Question, ...] = ()
    answers: tuple[Answer, ...] = ()


_codec: Codec[StreamMessage] = Codec.packed('stream message', StreamMessage)


class StreamExchange:
    """
    Knows, or asks its peers, which version began a stream.

    Origins are replicated only while their service has several versions.

    :param clock: clock of the process
    """

    __slots__ = (
        '_address_by_peer',
        '_clock',
        '_inquiry_by_attempt',
        '_origins',
        '_versions',
        '_zone_by_instance',
        'is_listing_fresh',
        'send',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins = StreamOrigins()
        self._versions = ServiceVersions()
        self._address_by_peer: dict[str, Address] = {}
        self._zone_by_instance: dict[str, str] = {}
        self._inquiry_by_attempt: dict[str, _Inquiry] = {}
        # Returns whether the list of targets was confirmed a short time ago.
        self.is_listing_fresh: Callable[[], bool] = _is_fresh
        # Sends a datagram to a peer; the task that has the socket sets it.
        self.send: Callable[[bytes, Address], None] = _drop

    def set_peers(
        self,
        address_by_peer: dict[str, Address],
        zone_by_instance: dict[str, str],
    ) -> None:
        """
        Replace the known instances.

        :param address_by_peer: addresses of all others
        :param zone_by_instance: zones of all, this one included
        """
        self._address_by_peer = address_by_peer
        self._zone_by_instance = zone_by_instance

    def observe(self, listed: list[tuple[str, str]]) -> None:
        """Record the services and versions of all listed targets."""
        for service in self._versions.observe(listed, self._clock.now_ms()):
            own = self._origins.list_own(service)
            for start in range(0, len(own), MAX_ORIGINS_PER_DATAGRAM):
                self._replicate(own[start : start + MAX_ORIGINS_PER_DATAGRAM])

    def list_recent_versions(self) -> dict[str, list[str]]:
        """Return the versions of open streams, by service, where known."""
        return self._versions.list_recent(self._clock.now_ms())

    def apply_history(self, versions_by_service: dict[str, list[str]]) -> None:
        """Apply what was known of versions before this instance started."""
        self._versions.apply_earlier(versions_by_service)

    def record_begin(self, origin: Origin) -> None:
        """Record that the first event of a stream is passed on."""
        now_ms = self._clock.now_ms()
        self._origins.record(origin, now_ms, is_own=True)
        if self._versions.is_mixed(origin.service, now_ms):
            self._replicate([origin])

    async def find_version(self, attempt_id: str, service: str) -> str | None:
        """
        Return the version that began a stream, none if that is not known.

        :param attempt_id: attempt of the caller that brought its first event,
            empty if the caller does not state it
        :param service: service of the stream
        """
        version = self._find_known(attempt_id, service)
        if version is not None:
            return version
        answers = await self._ask(Question(attempt_id, service))
        for answer in answers:
            if answer.version is not None:
                found = Origin(attempt_id, service, answer.version)
                self._origins.record(found, self._clock.now_ms(), is_own=False)
                return answer.version
        return self._infer_version(service, answers)

    def receive(self, datagram: bytes, address: Address) -> None:
        """Process a datagram of a peer; drop one that cannot be read."""
        try:
            message = _codec.decode(datagram[len(STREAM_MARK) :])
        except WireError as error:
            logger.info('{0}', error)
            return
        now_ms = self._clock.now_ms()
        for origin in message.origins:
            self._origins.record(origin, now_ms, is_own=False)
        for answer in message.answers:
            inquiry = self._inquiry_by_attempt.get(answer.attempt_id)
            if inquiry is not None:
                inquiry.add(answer)
        if message.questions:
            answers = tuple(map(self._answer, message.questions))
            self._send(StreamMessage(answers=answers), address)

    def _find_known(self, attempt_id: str, service: str) -> str | None:
        origin = self._origins.find(attempt_id)
        if origin is None or origin.service != service:
            return None
        return origin.version

    def _infer_version(self, service: str, answers: list[Answer]) -> str | None:
        """Return the version of all open streams, none if they may differ."""
        now_ms = self._clock.now_ms()
        if (
            self._address_by_peer
            and not answers
            and not self.is_listing_fresh()
        ):
            # Cut off from all others: their targets may have other versions.
            return None
        is_mixed = self._versions.is_mixed(service, now_ms)
        if is_mixed or any(answer.is_mixed for answer in answers):
            return None
        candidates = {
            answer.only_version
            for answer in answers
            if answer.only_version is not None
        }
        own = self._versions.find_only(service, now_ms)
        if own is not None:
            candidates.add(own)
        return candidates.pop() if len(candidates) == 1 else None

    async def _ask(self, question: Question) -> list[Answer]:
        asked = self._list_peers(question.attempt_id, ASKED_COUNT)
        if not asked or not question.attempt_id:
            return []
        attempt_id = question.attempt_id
        inquiry = self._inquiry_by_attempt.get(attempt_id)
        if inquiry is None:
            own = self._versions.find_only(
                question.service, self._clock.now_ms()
            )
            inquiry = _Inquiry(len(asked), own)
            self._inquiry_by_attempt[attempt_id] = inquiry
            self._clock.call_later(ANSWER_TIMEOUT_MS, self._close, attempt_id)
            message = StreamMessage(questions=(question,))
            for peer in asked:
                self._send(message, self._address_by_peer[peer])
        return await inquiry.wait()

    def _close(self, attempt_id: str) -> None:
        inquiry = self._inquiry_by_attempt.pop(attempt_id, None)
        if inquiry is not None:
            inquiry.close()

    def _answer(self, question: Question) -> Answer:
        now_ms = self._clock.now_ms()
        return Answer(
            question.attempt_id,
            self._find_known(question.attempt_id, question.service),
            self._versions.find_only(question.service, now_ms),
            self._versions.is_mixed(question.service, now_ms),
        )

    def _replicate(self, origins: list[Origin]) -> None:
        """Send each origin to its replicas."""
        origins_by_peer: dict[str, list[Origin]] = {}
        for origin in origins:
            for peer in self._list_peers(origin.attempt_id, REPLICA_COUNT):
                origins_by_peer.setdefault(peer, []).append(origin)
        for peer, replicated in origins_by_peer.items():
            self._send(
                StreamMessage(origins=tuple(replicated)),
                self._address_by_peer[peer],
            )

    def _list_peers(self, attempt_id: str, count: int) -> list[str]:
        """
        Return the first peers for a stream, the best of each zone first.

        All instances that know the same fleet list them in the same order.
        """
        names = list(self._zone_by_instance)
        ranked = rendezvous(attempt_id, names, len(names))
        best_by_zone: dict[str, str] = {}
        for instance in ranked:
            zone = self._zone_by_instance[instance]
            best_by_zone.setdefault(zone, instance)
        first = list(best_by_zone.values())[:REPLICA_COUNT]
        rest = [name for name in ranked if name not in first]
        return [
            name
            for name in (*first, *rest)[:count]
            if name in self._address_by_peer
        ]

    def _send(self, message: StreamMessage, address: Address) -> None:
        self.send(STREAM_MARK + _codec.encode(message), address)


class _Inquiry:
    """
    Collects the answers to one question.

    :param asked_count: number of peers that were asked
    :param only_version: version of all open streams of the service as this
        instance sees it, none if they may differ or it is not known
    """

    __slots__ = ('_answers', '_asked_count', '_only_version', '_waiting')

    def __init__(self, asked_count: int, only_version: str | None) -> None:
        self._asked_count = asked_count
        self._only_version = only_version
        self._answers: list[Answer] = []
        self._waiting: list[Deferred[None]] = []

    def add(self, answer: Answer) -> None:
        """
        Add an answer.

        The first that names the version ends the wait, or that confirms that
        there is only one. Answers after the end of the wait are dropped.
        """
        if not self._asked_count:
            return
        self._answers.append(answer)
        is_confirmed = (
            self._only_version is not None
            and answer.only_version == self._only_version
        )
        is_found = answer.version is not None or is_confirmed
        if is_found or len(self._answers) >= self._asked_count:
            self.close()

    def close(self) -> None:
        """End the wait for further answers."""
        self._asked_count = 0
        waiting = self._waiting
        self._waiting = []
        for deferred in waiting:
            deferred.callback(None)

    async def wait(self) -> list[Answer]:
        """Return the answers once the wait has ended."""
        if self._asked_count:
            deferred: Deferred[None] = Deferred()
            self._waiting.append(deferred)
            await deferred
        return self._answers


def _drop(datagram: bytes, address: Any) -> None:
    """Send nothing: the exchange with peers has not started."""


def _is_fresh() -> bool:
    """Trust a list of targets that no follower of the store confirms."""
    return True
