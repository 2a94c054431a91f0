"""Instances that take load digests, and the collectors of their zones."""

from collections.abc import Iterable

from cicadahoist.log import get_logger
from cicadahoist.policy.load_digests.collector_choice import CollectorChoice
from cicadahoist.policy.load_digests.collector_rank import (
    CollectorCandidate,
    rank_candidates,
)
from cicadahoist.serving.load_messages import PeerRecord
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.stream_exchange import Address

logger = get_logger(__name__)


class DigestPeers:
    """
    Addresses of the registered instances, and a collector for each zone.

    :param instance: name of this instance
    :param record: its record
    :param peers: records which other instances are alive
    :param meters: counts changes of the collector
    """

    __slots__ = (
        '_choice_by_zone',
        '_digest_takers',
        '_instance',
        '_meters',
        '_peers',
        '_record',
        'address_by_name',
        '_zone_by_name',
    )

    def __init__(
        self,
        instance: str,
        record: PeerRecord,
        peers: Peers,
        meters: Meters,
    ) -> None:
        self._instance = instance
        self._record = record
        self._peers = peers
        self._meters = meters
        self._choice_by_zone = {record.zone: CollectorChoice(instance)}
        self.address_by_name: dict[str, Address] = {}
        self._zone_by_name: dict[str, str] = {}
        self._digest_takers: frozenset[str] = frozenset()
        self.set_records({})

    @property
    def own_choice(self) -> CollectorChoice:
        """Choice of the collector of the own zone."""
        return self._choice_by_zone[self._record.zone]

    @property
    def is_own_collector(self) -> bool:
        """Whether this instance has chosen itself."""
        return self.own_choice.chosen == self._instance

    def set_records(self, record_by_name: dict[str, PeerRecord]) -> None:
        """Replace the records of the other instances."""
        records = {**record_by_name, self._instance: self._record}
        self.address_by_name = {
            name: (record.host, record.port)
            for name, record in record_by_name.items()
        }
        self._zone_by_name = {
            name: record.zone for name, record in records.items()
        }
        self._digest_takers = frozenset(
            name for name, record in records.items() if record.takes_digests
        )
        candidates_by_zone: dict[str, list[CollectorCandidate]] = {
            self._record.zone: []
        }
        for name, record in records.items():
            if record.takes_digests or name == self._instance:
                candidates_by_zone.setdefault(record.zone, []).append(
                    CollectorCandidate(
                        name, record.link_mbps, record.core_count
                    )
                )
        for zone in self._choice_by_zone.keys() - candidates_by_zone.keys():
            self._choice_by_zone.pop(zone)
        for zone, candidates in candidates_by_zone.items():
            choice = self._choice_by_zone.setdefault(
                zone, CollectorChoice(self._instance)
            )
            choice.set_ranked(rank_candidates(candidates))

    def choose_own(self, now_ms: int) -> str:
        """Return the collector of the own zone."""
        last = self.own_choice.chosen
        chosen = self.own_choice.choose(self._peers.is_alive, now_ms)
        if chosen != last:
            self._meters.count_collector_change()
            logger.bind(zone=self._record.zone, last=last).info(
                'load reports of the zone go to {0}', chosen
            )
        return chosen or self._instance

    def list_reported_to(self, now_ms: int) -> list[str]:
        """Return the collectors of the zone to send a report to."""
        return [
            self.choose_own(now_ms),
            *self.own_choice.list_trials(now_ms),
        ]

    def list_far_collectors(self, now_ms: int) -> list[str]:
        """Return the collectors of the other zones."""
        collectors: list[str] = []
        for zone, choice in self._choice_by_zone.items():
            if zone == self._record.zone:
                continue
            last = choice.chosen
            chosen = choice.choose(self._peers.is_alive, now_ms)
            if chosen != last:
                logger.bind(zone=zone, last=last).info(
                    'load digests for another zone go to {0}', chosen
                )
            if chosen is not None:
                collectors.append(chosen)
            collectors.extend(choice.list_trials(now_ms))
        return collectors

    def takes_digests(self, name: str) -> bool:
        """Return whether the build of an instance knows load digests."""
        return name in self._digest_takers

    def has_heard_all(self, collectors: Iterable[str]) -> bool:
        """
        Return whether each zone has a collector that was heard.

        :param collectors: the other collectors that were heard
        """
        heard = {self._zone_by_name.get(name) for name in collectors}
        if self.is_own_collector:
            heard.add(self._record.zone)
        return all(
            zone in heard
            for zone, choice in self._choice_by_zone.items()
            if choice.chosen is not None
        )

    def record_far_answer(
        self, collector: str, now_ms: int, *, is_direct: bool
    ) -> None:
        """
        Record a section of a collector of another zone.

        :param is_direct: whether no other instance has passed it on
        """
        choice = self._choice_by_zone.get(self._zone_by_name.get(collector, ''))
        if choice is None or choice is self.own_choice:
            return
        if is_direct:
            choice.record_answer(collector, now_ms)
        elif choice.chosen != collector:
            choice.record_indirect_answer(now_ms)
