"""Draws engines by the shares that level their load."""

from cicadahoist.ids import fast_hash
from cicadahoist.policy.balancing.hold_times import HoldTimes
from cicadahoist.policy.balancing.level_shares import (
    HASH_RANGE,
    TargetLoad,
    choose_level,
)
from cicadahoist.policy.engine_board import EngineBoard, EngineState

# All instances learn when a back-off ends. Requests return to the engine over
# this time, so that they do not all arrive at once.
RETURN_MS = 100


def name_pool(service: str, stage: str) -> str:
    """Return the name of the engines of a service that do the same work."""
    return f'{service}/{stage}'


class EngineSample:
    """
    Draws one of some engines for a request at a service with few slots.

    :param board: engines of the service and their load
    :param service: name of the service
    :param hold_times: how long requests hold slots
    """

    __slots__ = ('_board', '_hold_times', '_service')

    def __init__(
        self, board: EngineBoard, service: str, hold_times: HoldTimes
    ) -> None:
        self._board = board
        self._service = service
        self._hold_times = hold_times

    def draw(
        self, engines: list[EngineState], key: str, now_ms: int
    ) -> EngineState:
        """
        Return the engine for a request.

        :param engines: engines of one role, at least one
        :param key: text that differs between requests
        """
        engines = self._filter_returned(engines, key, now_ms)
        peer_loads = self._board.peer_loads
        loads = [
            TargetLoad(
                own_count=engine.own_load.run_count,
                peer_count=peer_loads.get_total(engine.name).run_count,
                slots=engine.slots,
                slowness=engine.slowness,
            )
            for engine in engines
        ]
        pool = name_pool(self._service, engines[0].role)
        chosen = choose_level(
            loads,
            peer_loads.compute_age_ms(now_ms),
            self._hold_times.get_hold_ms(pool),
            key,
        )
        return engines[chosen]

    def _filter_returned(
        self, engines: list[EngineState], key: str, now_ms: int
    ) -> list[EngineState]:
        """Return the engines that have not just ended a back-off."""
        returned = [
            engine
            for engine in engines
            if now_ms - self._board.backoffs.get_end_ms(engine.name)
            >= RETURN_MS * fast_hash(engine.name + key) / HASH_RANGE
        ]
        return returned or engines
