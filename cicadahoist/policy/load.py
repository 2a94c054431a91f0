"""Load of targets, from own requests, views of peers and delayed reports."""

import msgspec

from cicadahoist.messages import LoadView
from cicadahoist.policy.speed import TargetSpeed
from cicadahoist.policy.state import Attempt, Load, PoolCapacity, TargetState
from cicadahoist.policy.tickets import RouteRequest
from cicadahoist.table import Target

PEER_VIEW_TTL_MS = 3000
TICKS_PER_RECOUNT = 60


class ReportedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """
    Load that a target reports.

    :param age_ms: time since the report was taken
    :param running: requests that run
    :param queued: requests that wait on the target
    :param prefill_tokens: prompt tokens that wait for prefill
    """

    age_ms: int
    role: str = 'mixed'
    running: int = 0
    queued: int = 0
    prefill_tokens: int = 0
    draining: bool = False


class PeerView:
    """Latest view of a peer and when it was received."""

    __slots__ = ('loads_by_target', 'received_ms')

    def __init__(self, view: LoadView, received_ms: int) -> None:
        self.received_ms = received_ms
        self.loads_by_target = {
            name: Load(open_requests, prefill)
            for name, (prefill, open_requests) in view.by_target.items()
        }


class TargetLoads:
    """
    Tracks the load of all targets of the table.

    The capacity of each pool is updated with each change, so that the cost of
    admitting a request does not depend on the number of targets.
    """

    __slots__ = (
        '_attempts_by_id',
        '_states_by_name',
        '_ticks',
        '_totals_by_pool',
        '_views_by_peer',
    )

    def __init__(self) -> None:
        self._states_by_name: dict[str, TargetState] = {}
        self._totals_by_pool: dict[str, PoolCapacity] = {}
        self._attempts_by_id: dict[str, Attempt] = {}
        self._views_by_peer: dict[str, PeerView] = {}
        self._ticks = 0

    def sync(self, targets: list[Target], now_ms: int) -> None:
        """
        Replace the targets by those of a table revision.

        Targets that appear after the first call are subject to slow start.
        """
        since_ms = now_ms if self._states_by_name else None
        states = {}
        for row in targets:
            state = self._states_by_name.get(row.name)
            if state is None:
                state = _create_state(row, since_ms, self._views_by_peer)
            state.row = row
            states[row.name] = state
        self._states_by_name = states
        self._recount(now_ms)

    def tick(self, now_ms: int) -> None:
        """
        Drop expired views and update ejections and slow starts.

        To be called every second.

        The sums are recomputed now and then, so that rounding errors do not
        accumulate.
        """
        for peer, view in list(self._views_by_peer.items()):
            if now_ms - view.received_ms > PEER_VIEW_TTL_MS:
                self._views_by_peer.pop(peer)
                self._replace_view(view, None, now_ms)
        self._ticks += 1
        if self._ticks % TICKS_PER_RECOUNT == 0:
            self._recount(now_ms)
            return
        for state in self._states_by_name.values():
            if not state.health.is_settled:
                self._refresh(state, now_ms)

    def _recount(self, now_ms: int) -> None:
        self._totals_by_pool = {}
        for state in self._states_by_name.values():
            state.capacity = PoolCapacity()
            self._refresh(state, now_ms)

    def get_state(self, target: str) -> TargetState | None:
        """Return the state of a target, or none if it is not in the table."""
        return self._states_by_name.get(target)

    def get_totals(self, pool: str) -> PoolCapacity:
        """Return the capacity of a pool."""
        return self._totals_by_pool.get(pool) or PoolCapacity()

    def record_sent(
        self, target: str, request: RouteRequest, now_ms: int
    ) -> None:
        """Add an attempt that is being sent to the load."""
        state = self._states_by_name.get(target)
        if state is None:
            return
        prefill = request.cost.prefill_tokens
        is_urgent = request.is_urgent
        attempt = Attempt(target, prefill, now_ms, is_urgent=is_urgent)
        attempt.queued_tokens = (
            state.count_backlog_tokens(is_urgent=is_urgent) + prefill
        )
        self._attempts_by_id[request.attempt_id] = attempt
        state.own_load.add(Load(1, prefill, prefill * is_urgent))
        self._refresh(state, now_ms)

    def record_first_token(self, attempt_id: str, now_ms: int) -> None:
        """Remove the prefill of an attempt from the load; learn the speed."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None or attempt.started_ms is not None:
            return
        attempt.started_ms = now_ms
        state = self._states_by_name.get(attempt.target)
        if state is not None:
            _end_prefill(state, attempt)
            state.speed.observe_prefill(
                attempt.queued_tokens, now_ms - attempt.sent_ms
            )
            if attempt.is_urgent:
                state.speed.observe_first_token(now_ms - attempt.sent_ms)
            self._refresh(state, now_ms)

    def record_end(
        self,
        attempt_id: str,
        now_ms: int,
        *,
        output_tokens: int = 0,
        failed: bool = False,
    ) -> None:
        """
        Remove an attempt from the load.

        :param output_tokens: tokens of a complete answer
        :param failed: whether the target failed it
        """
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is None:
            return
        state = self._states_by_name.get(attempt.target)
        if state is None:
            return
        if failed:
            state.health.record_failure(now_ms)
        else:
            state.health.record_success()
        if attempt.started_ms is None:
            _end_prefill(state, attempt)
        elif not failed:
            state.speed.observe_decode(
                output_tokens, attempt.started_ms, now_ms, state.open_requests
            )
        state.own_load.add(Load(1), -1)
        self._refresh(state, now_ms)

    def record_crash(self, target: str, now_ms: int) -> None:
        """Eject a target that closed its connections unexpectedly."""
        state = self._states_by_name.get(target)
        if state is not None:
            state.health.record_crash(now_ms)
            self._refresh(state, now_ms)

    def set_draining(self, target: str, now_ms: int, *, active: bool) -> None:
        """Start or end the drain of a target."""
        state = self._states_by_name.get(target)
        if state is not None:
            state.is_draining = active
            self._refresh(state, now_ms)

    def apply_report(
        self, target: str, report: ReportedLoad, now_ms: int
    ) -> None:
        """
        Correct the load by a delayed report.

        Load in the report beyond that of this entry and its peers belongs to
        entries whose views do not arrive.
        """
        state = self._states_by_name.get(target)
        if state is None:
            return
        if state.role != report.role:
            state.role = report.role
            state.speed = TargetSpeed.of_role(report.role)
        state.health.record_report(now_ms - report.age_ms, now_ms)
        known_requests = (
            state.own_load.open_requests + state.peer_load.open_requests
        )
        known_prefill = (
            state.own_load.prefill_tokens + state.peer_load.prefill_tokens
        )
        reported_requests = report.running + report.queued
        state.unexplained_load = Load(
            max(0, reported_requests - known_requests),
            max(0, report.prefill_tokens - known_prefill),
        )
        self._refresh(state, now_ms)

    def apply_peer_view(self, peer: str, view: LoadView, now_ms: int) -> None:
        """Replace the view of a peer."""
        earlier = self._views_by_peer.get(peer)
        current = PeerView(view, now_ms)
        self._views_by_peer[peer] = current
        self._replace_view(earlier, current, now_ms)

    def build_view(self) -> LoadView:
        """Return the own load in flight, for peers."""
        busy = [
            state
            for state in self._states_by_name.values()
            if state.own_load.open_requests
        ]
        return LoadView(
            by_target={
                state.row.name: (
                    state.own_load.prefill_tokens,
                    state.own_load.open_requests,
                )
                for state in busy
            },
        )

    def _replace_view(
        self, earlier: PeerView | None, current: PeerView | None, now_ms: int
    ) -> None:
        """Replace an earlier view of a peer by the current one in the loads."""
        old = earlier.loads_by_target if earlier else {}
        new = current.loads_by_target if current else {}
        for name in old.keys() | new.keys():
            state = self._states_by_name.get(name)
            if state is None:
                continue
            before = old.get(name)
            after = new.get(name)
            if before is not None:
                state.peer_load.add(before, -1)
            if after is not None:
                state.peer_load.add(after)
            self._refresh(state, now_ms)

    def _refresh(self, state: TargetState, now_ms: int) -> None:
        totals = self._totals_by_pool.setdefault(state.row.pool, PoolCapacity())
        totals.add(state.capacity, -1)
        state.capacity = PoolCapacity.of_target(state, now_ms)
        totals.add(state.capacity)


def _end_prefill(state: TargetState, attempt: Attempt) -> None:
    prefill = attempt.prefill_tokens
    state.own_load.add(Load(0, prefill, prefill * attempt.is_urgent), -1)


def _create_state(
    row: Target, since_ms: int | None, views_by_peer: dict[str, PeerView]
) -> TargetState:
    state = TargetState(row, since_ms)
    for view in views_by_peer.values():
        load = view.loads_by_target.get(row.name)
        if load is not None:
            state.peer_load.add(load)
    return state
