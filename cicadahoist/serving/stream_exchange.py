"""Shares with other instances which software version began a stream."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.log import get_logger
from cicadahoist.policy.stream_origins import Origin, StreamOrigins
from cicadahoist.policy.stream_versions.stream_terms import StreamTerms
from cicadahoist.policy.stream_versions.version_record import RecordCopy
from cicadahoist.rules import Deployment
from cicadahoist.serving.recorded_versions import RecordedVersions
from cicadahoist.serving.stream_peers import (
    REPLICA_COUNT,
    Address,
    StreamPeers,
)

logger = get_logger(__name__)

# First byte of these datagrams; no load report begins with it.
STREAM_MARK = b'S'
# Instances that are asked, the replicas first: some may have restarted, and in
# a small fleet the instance at which the stream began is among them.
ASKED_COUNT = 12
# Peers are a few ms away; one that has ended does not answer at all.
ANSWER_TIMEOUT_MS = 100
MAX_ORIGINS_PER_DATAGRAM = 20


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
    :param is_replica: whether this instance would hold the origin if the
        stream had begun while its versions could differ
    """

    attempt_id: str
    version: str | None
    only_version: str | None
    is_mixed: bool
    is_replica: bool = False


class StreamMessage(msgspec.Struct, frozen=True, array_like=True):
    """
    One datagram: streams that began, questions, answers and the record.

    :param record: record of versions that the sender has written
    """

    origins: tuple[Origin, ...] = ()
    questions: tuple[Question, ...] = ()
    answers: tuple[Answer, ...] = ()
    record: RecordCopy | None = None


_codec: Codec[StreamMessage] = Codec.packed('stream message', StreamMessage)


class StreamExchange:
    """
    Knows, or asks its peers, which version began a stream.

    Origins are replicated only while their service has several versions, or
    while it is not known that it has one.

    :param clock: clock of the process
    """

    __slots__ = (
        '_clock',
        '_inquiry_by_attempt',
        '_origins',
        '_peers',
        'is_listing_fresh',
        'recorded',
        'send',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins = StreamOrigins()
        self._peers = StreamPeers()
        self.recorded = RecordedVersions(clock)
        self.recorded.on_uncertain = self._replicate_own
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
        self._peers.replace(address_by_peer, zone_by_instance)

    def apply_deployment(self, deployment: Deployment) -> None:
        """Apply the terms of streams of a new configuration."""
        self.recorded.apply_terms(StreamTerms.from_deployment(deployment))
        self._origins.lifetime_ms = self.recorded.versions.terms.lifetime_ms

    def share_record(self, copy: RecordCopy) -> None:
        """Apply a record that this instance has written, and tell all peers."""
        self.recorded.apply_copy(copy)
        message = StreamMessage(record=copy)
        for address in self._peers.address_by_peer.values():
            self._send(message, address)

    def record_begin(self, origin: Origin) -> None:
        """Record that the first event of a stream is passed on."""
        self._origins.record(origin, self._clock.now_ms(), is_own=True)
        if self.recorded.is_uncertain(origin.service):
            self._replicate([origin])

    async def find_version(self, attempt_id: str, service: str) -> str | None:
        """
        Return the version that began a stream, none if that is not known.

        :param attempt_id: attempt of the caller that brought its first event,
            empty if the caller does not state it
        :param service: service of the stream
        """
        version = self._find_known(attempt_id, service)
        if version is not None or self._origins.is_of_other(
            attempt_id, service
        ):
            return version
        read_again = self.recorded.read_again
        if read_again is not None:
            await self.recorded.wait_for_first(ANSWER_TIMEOUT_MS)
        answers = await self._ask(Question(attempt_id, service))
        for answer in answers:
            if answer.version is not None:
                found = Origin(attempt_id, service, answer.version)
                self._origins.record(found, self._clock.now_ms(), is_own=False)
                return answer.version
        inferred = self._infer_version(service, answers)
        if inferred is None or self._is_confirmed(attempt_id, answers):
            return inferred
        if read_again is None:
            return inferred
        # The instances that knew the origin may have been killed.
        has_read = await read_again()
        is_only = self.recorded.find_only(service) == inferred
        return inferred if has_read and is_only else None

    def receive(self, datagram: bytes, address: Address) -> None:
        """Process a datagram of a peer; drop one that cannot be read."""
        try:
            message = _codec.decode(datagram[len(STREAM_MARK) :])
        except WireError as error:
            logger.info('{0}', error)
            return
        if message.record is not None:
            self.recorded.apply_copy(message.record)
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
        if (
            self._peers.address_by_peer
            and not answers
            and not self.is_listing_fresh()
        ):
            # Cut off from all others: their targets may have other versions.
            return None
        is_mixed = self.recorded.is_mixed(service)
        if is_mixed or any(answer.is_mixed for answer in answers):
            return None
        candidates = {
            answer.only_version
            for answer in answers
            if answer.only_version is not None
        }
        own = self.recorded.find_only(service)
        if own is not None:
            candidates.add(own)
        return candidates.pop() if len(candidates) == 1 else None

    def _is_confirmed(self, attempt_id: str, answers: list[Answer]) -> bool:
        """
        Return whether others that would hold the origin lack it.

        What this instance lacks it may have missed, and so may another one of
        its zone.
        """
        needed_count = self._peers.count_needed_replicas(attempt_id)
        confirming_count = sum(
            answer.is_replica and answer.only_version is not None
            for answer in answers
        )
        return 0 < needed_count <= confirming_count

    async def _ask(self, question: Question) -> list[Answer]:
        asked = self._peers.list_first(question.attempt_id, ASKED_COUNT)
        if not asked or not question.attempt_id:
            return []
        attempt_id = question.attempt_id
        inquiry = self._inquiry_by_attempt.get(attempt_id)
        if inquiry is None:
            own = self.recorded.find_only(question.service)
            inquiry = _Inquiry(
                len(asked), own, self._peers.count_needed_replicas(attempt_id)
            )
            self._inquiry_by_attempt[attempt_id] = inquiry
            self._clock.call_later(ANSWER_TIMEOUT_MS, self._close, attempt_id)
            message = StreamMessage(questions=(question,))
            for peer in asked:
                self._send(message, self._peers.address_by_peer[peer])
        return await inquiry.wait()

    def _close(self, attempt_id: str) -> None:
        inquiry = self._inquiry_by_attempt.pop(attempt_id, None)
        if inquiry is not None:
            inquiry.close()

    def _answer(self, question: Question) -> Answer:
        return Answer(
            question.attempt_id,
            self._find_known(question.attempt_id, question.service),
            self.recorded.find_only(question.service),
            self.recorded.is_mixed(question.service)
            or self._origins.is_of_other(question.attempt_id, question.service),
            self._peers.is_replica(question.attempt_id),
        )

    def _replicate_own(self, services: set[str]) -> None:
        """Replicate the streams of services that began at this instance."""
        for service in sorted(services):
            own = self._origins.list_own(service)
            for start in range(0, len(own), MAX_ORIGINS_PER_DATAGRAM):
                self._replicate(own[start : start + MAX_ORIGINS_PER_DATAGRAM])

    def _replicate(self, origins: list[Origin]) -> None:
        """Send each origin to its replicas."""
        origins_by_peer: dict[str, list[Origin]] = {}
        for origin in origins:
            for peer in self._peers.list_first(
                origin.attempt_id, REPLICA_COUNT
            ):
                origins_by_peer.setdefault(peer, []).append(origin)
        for peer, replicated in origins_by_peer.items():
            self._send(
                StreamMessage(origins=tuple(replicated)),
                self._peers.address_by_peer[peer],
            )

    def _send(self, message: StreamMessage, address: Address) -> None:
        self.send(STREAM_MARK + _codec.encode(message), address)


class _Inquiry:
    """
    Collects the answers to one question.

    :param asked_count: number of peers that were asked
    :param only_version: version of all open streams of the service as this
        instance sees it, none if they may differ or it is not known
    :param needed_count: number of peers which would hold the origin that have
        to confirm that version
    """

    __slots__ = (
        '_answers',
        '_asked_count',
        '_needed_count',
        '_only_version',
        '_waiting',
    )

    def __init__(
        self, asked_count: int, only_version: str | None, needed_count: int
    ) -> None:
        self._asked_count = asked_count
        self._needed_count = needed_count
        self._only_version = only_version
        self._answers: list[Answer] = []
        self._waiting: list[Deferred[None]] = []

    def add(self, answer: Answer) -> None:
        """
        Add an answer.

        The first that names the version ends the wait, or the last of those
        that have to confirm that there is only one. Answers after the end of
        the wait are dropped.
        """
        if not self._asked_count:
            return
        self._answers.append(answer)
        if (
            answer.is_replica
            and answer.only_version is not None
            and answer.only_version == self._only_version
        ):
            self._needed_count -= 1
        is_found = answer.version is not None or self._needed_count <= 0
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
