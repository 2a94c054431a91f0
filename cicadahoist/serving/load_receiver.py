"""Applies the loads and news that other instances send."""

from collections.abc import Iterable

from cicadahoist.policy.engine_board import EngineBoard
from cicadahoist.policy.load_digests.contributions import MemberMark
from cicadahoist.policy.load_digests.load_sum import LoadByTarget
from cicadahoist.policy.peer_loads import PeerLoad
from cicadahoist.policy.rejection_backoff import MAX_BACKOFF_MS
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.digest_messages import DigestNews
from cicadahoist.serving.digest_news import get_news
from cicadahoist.serving.load_messages import LoadMessage
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.relay_peers import RelayState


class LoadReceiver:
    """
    Applies load reports and digests to the state that requests are placed by.

    :param context: shared parts of the data path
    :param instance: name of this instance
    :param peers: records which other instances are alive
    """

    __slots__ = ('_context', '_instance', '_peers')

    def __init__(
        self, context: ServingContext, instance: str, peers: Peers
    ) -> None:
        self._context = context
        self._instance = instance
        self._peers = peers

    def apply_sender(self, report: LoadMessage, now_ms: int) -> None:
        """Apply what a report tells about its sender apart from its load."""
        gossip = self._context.gossip
        self._context.true_time.record_peer_time(report.sender, report.true_ms)
        self._peers.mark_alive(
            report.sender, now_ms, holds_duties=report.holds_duties
        )
        gossip.relays.record_state(report.sender, report.relay)
        if report.config_version:
            self._context.currency.record_told(report.config_version, now_ms)
        if report.usage is not None:
            gossip.usage_copies.keep(report.usage, now_ms)

    def apply_report(self, report: LoadMessage, now_ms: int) -> None:
        """Apply a report in full, except for the load."""
        self.apply_sender(report, now_ms)
        self.apply_news(get_news(report), now_ms)

    def apply_news(self, news: DigestNews, now_ms: int) -> None:
        """Apply what one or more instances have reported."""
        for blame in news.blames:
            self._context.gossip.blames.add(blame)
        if news.part_news is not None:
            self._context.fleet.part_watch.apply_news(news.part_news)
        self._context.fleet.notices.apply_peer_departures(news.departures)
        for board in self._context.fleet.boards.list_boards():
            self._apply_engine_news(board, news, now_ms)

    def apply_load(
        self, source: str, load_by_target: LoadByTarget, now_ms: int
    ) -> None:
        """
        Replace the load from one source.

        :param source: name of a peer, or that of the sum over many
        """
        load = PeerLoad(load_by_target, now_ms)
        self._context.fleet.balances.apply_peer_load(
            source, load_by_target, now_ms
        )
        for board in self._context.fleet.boards.list_boards():
            board.peer_loads.apply(source, load)

    def drop_loads(self, sources: Iterable[str]) -> None:
        """Drop the loads from some sources."""
        names = list(sources)
        for source in names:
            self._context.fleet.balances.peer_loads.drop(source)
        for board in self._context.fleet.boards.list_boards():
            for name in names:
                board.peer_loads.drop(name)

    def apply_marks(
        self, marks: dict[str, MemberMark], sender_true_ms: int, now_ms: int
    ) -> None:
        """
        Apply what a digest tells about the instances whose loads it sums.

        :param sender_true_ms: time of the digest by the clock of its sender
        """
        relays = self._context.gossip.relays
        for name, mark in marks.items():
            if name == self._instance:
                continue
            self._context.true_time.record_peer_time(
                name, sender_true_ms + mark.offset_ms
            )
            self._peers.mark_alive(
                name, now_ms - mark.age_ms, holds_duties=mark.holds_duties
            )
            relays.record_state(
                name, RelayState(mark.is_relay, mark.is_cut_off)
            )

    def _apply_engine_news(
        self, board: EngineBoard, news: DigestNews, now_ms: int
    ) -> None:
        for engine, closure in news.closed_by_engine.items():
            if board.get(engine) is not None:
                board.close_role(
                    engine, closure.role, now_ms + closure.expires_ms
                )
        for name, backoff in news.backoff_by_engine.items():
            # An own back-off ends with the next request that is accepted.
            is_told = backoff.source != self._instance
            if is_told and board.get(name) is not None:
                left_ms = min(backoff.left_ms, MAX_BACKOFF_MS)
                board.backoffs.apply_peer_backoff(name, now_ms + left_ms)
        for prefill in news.prefills:
            board.record_prefill(prefill.engine, prefill.parts)
