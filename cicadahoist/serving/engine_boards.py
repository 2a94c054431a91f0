"""Loads of the engines of all services."""

from cicadahoist.listings import TargetDirectory
from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.policy.balancing.engine_sample import EngineSample
from cicadahoist.policy.engine_board import EngineBoard, EngineState
from cicadahoist.policy.placement import Placer
from cicadahoist.policy.target_pauses import TargetPauses
from cicadahoist.rules import Deployment
from cicadahoist.serving.balances import Balances


class EngineBoards:
    """
    Engine boards by service, synchronised with the target directory.

    :param directory: targets listed at this moment
    :param answers: records which targets are silent
    :param zone: availability zone of this instance
    :param pauses: targets that want no requests for a while
    :param balances: services with few slots
    """

    __slots__ = (
        '_answers',
        '_balances',
        '_board_by_service',
        '_deployment',
        '_directory',
        '_pauses',
        '_zone',
    )

    def __init__(
        self,
        directory: TargetDirectory,
        answers: AnswerWatch,
        zone: str,
        pauses: TargetPauses,
        balances: Balances,
    ) -> None:
        self._balances = balances
        self._directory = directory
        self._answers = answers
        self._zone = zone
        self._pauses = pauses
        self._board_by_service: dict[str, EngineBoard] = {}
        self._deployment: Deployment | None = None

    def apply_deployment(self, deployment: Deployment) -> None:
        """Apply the engine sizes of a configuration."""
        self._deployment = deployment
        self.sync()

    def get_board(self, service: str) -> EngineBoard:
        """Return the board of a service, creating it at the first use."""
        board = self._board_by_service.get(service)
        if board is None:
            board = EngineBoard(self._zone, self._answers, self._pauses)
            self._board_by_service[service] = board
            self._sync_board(service, board)
        return board

    def get_placer(self, service: str) -> Placer:
        """Return a placer of requests on the engines of a service."""
        board = self.get_board(service)
        if not self._balances.is_scarce(service):
            return Placer(board)
        return Placer(
            board, EngineSample(board, service, self._balances.hold_times)
        )

    def list_boards(self) -> list[EngineBoard]:
        """Return the boards of all services in use."""
        return list(self._board_by_service.values())

    def end_ejection(self, target: str) -> None:
        """End the ejection of an engine that has not failed itself."""
        for board in self._board_by_service.values():
            engine = board.get(target)
            if engine is not None:
                engine.health.end_ejection()

    def sync(self) -> None:
        """Update all boards from the directory."""
        for service, board in self._board_by_service.items():
            self._sync_board(service, board)

    def _sync_board(self, service: str, board: EngineBoard) -> None:
        cache_tokens = self._get_cache_tokens(service)
        board.sync(
            EngineState(
                listing.name,
                listing.zone,
                listing.role,
                listing.slots,
                cache_tokens=cache_tokens,
                is_cheap=listing.is_cheap,
                started_ms=listing.started_ms,
                version=listing.version,
            )
            for listing in self._directory.list_usable(service)
        )

    def _get_cache_tokens(self, service: str) -> int:
        if self._deployment is None:
            return 0
        rule = self._deployment.services_by_name.get(service)
        return rule.engine.cache_tokens if rule and rule.engine else 0
