"""Collects the load of this instance for reports."""

from collections import deque
from typing import Any

from cicadahoist.policy.crash_containment import Blame
from cicadahoist.policy.engine_board import RoleClosure
from cicadahoist.policy.peer_loads import InFlightLoad
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.load_messages import LoadMessage
from cicadahoist.serving.part_news import PartNewsQueue
from cicadahoist.serving.relay_peers import RelayState
from cicadahoist.serving.target_crashes import MAX_VERDICT_MS

# A blame is repeated for this long, some four times, as datagrams may be lost.
BLAME_REPEAT_MS = 1600
# Blames in one datagram; an engine runs at most this many requests.
MAX_BLAMES = 32


class OwnLoad:
    """
    Load of this instance, and what it has to tell its peers.

    :param context: shared parts of the data path
    :param instance: name of this instance
    """

    __slots__ = ('_context', '_instance', '_part_news', '_recent_blames')

    def __init__(self, context: ServingContext, instance: str) -> None:
        self._context = context
        self._instance = instance
        self._recent_blames: deque[Blame] = deque(maxlen=MAX_BLAMES)
        self._part_news = PartNewsQueue(context.gossip)
        context.gossip.on_blame = self._recent_blames.append

    def collect(self, now_ms: int) -> LoadMessage:
        """Return a load report without prefills and time."""
        self._context.fleet.balances.peer_loads.drop_expired(now_ms)
        closed_by_engine: dict[str, RoleClosure] = {}
        backoff_ms_by_engine: dict[str, int] = {}
        for board in self._context.fleet.boards.list_boards():
            board.peer_loads.drop_expired(now_ms)
            closed_by_engine.update(board.list_closures(now_ms))
            backoff_ms_by_engine.update(board.backoffs.list_own(now_ms))
        self._context.fleet.part_watch.drop_expired()
        gossip = self._context.gossip
        return LoadMessage(
            sender=self._instance,
            true_ms=0,
            by_engine=self._snapshot_load(),
            closed_by_engine=closed_by_engine,
            blames=self._collect_blames(),
            holds_duties=gossip.holds_duties(),
            part_news=self._part_news.collect(self._context.true_time.now_ms()),
            relay=RelayState(gossip.relays.is_accepting(), gossip.is_cut_off()),
            departures=self._context.fleet.notices.list_departures(),
            backoff_ms_by_engine=backoff_ms_by_engine,
            config_version=self._context.version or 0,
        )

    def summarize(self, now_ms: int) -> list[Any]:
        """Return what is another one if a load report has changed, cheaply."""
        gossip = self._context.gossip
        boards = self._context.fleet.boards.list_boards()
        return [
            self._snapshot_load(),
            [set(board.backoffs.list_own(now_ms)) for board in boards],
            [set(board.list_closures(now_ms)) for board in boards],
            len(self._recent_blames),
            self._part_news.recent_count,
            gossip.held_parts.is_empty,
            gossip.holds_duties(),
            gossip.relays.is_accepting(),
            gossip.is_cut_off(),
        ]

    def _snapshot_load(self) -> dict[str, InFlightLoad]:
        """Return the load in flight at each target."""
        by_engine = self._context.fleet.plain_targets.snapshot_own_load()
        for board in self._context.fleet.boards.list_boards():
            by_engine.update(board.snapshot_own_load())
        return by_engine

    def _collect_blames(self) -> tuple[Blame, ...]:
        """Return the blames that peers may not have received yet."""
        true_ms = self._context.true_time.now_ms()
        self._context.gossip.blames.drop_expired(true_ms)
        # The verdict on a crash may come this much after it.
        since_ms = true_ms - MAX_VERDICT_MS - BLAME_REPEAT_MS
        while self._recent_blames and self._recent_blames[0].true_ms < since_ms:
            self._recent_blames.popleft()
        return tuple(self._recent_blames)
