"""Builds Kripke structures from models and checks CTL properties on them."""

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import Any, NamedTuple, Protocol

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck

MAX_STATES = 400_000
SAFETY_PREFIX = 'A G not '


class Move(NamedTuple):
    """
    A transition of a model.

    :param label: what happens, in words
    :param state: state after the move
    """

    label: str
    state: Hashable


class Property(NamedTuple):
    """
    A property in CTL.

    :param meaning: the property in words
    :param formula: CTL formula over the atoms
    :param atoms: predicate over states by name of the atom
    """

    meaning: str
    formula: str
    atoms: dict[str, Callable[[Any], bool]]


class Model(Protocol):
    """A chart together with a model of its environment."""

    name: str
    properties: tuple[Property, ...]

    def initial(self) -> Hashable:
        """Return the initial state."""

    def moves(self, state: Any) -> Iterator[Move]:
        """Yield all moves that are possible in a state."""


class Result(NamedTuple):
    """
    Verdict on one property.

    :param trace: labels of the moves from the initial state to the first
        state that violates the property; empty if it holds
    :param is_safety: whether the property has the form ``A G not atom``
    """

    meaning: str
    holds: bool
    trace: tuple[str, ...]
    is_safety: bool = True


class StateSpace:
    """
    All reachable states of a model.

    :param model: the model
    :param stop_early: whether to stop at the first state that violates a
        safety property, which is enough for a counterexample
    """

    def __init__(self, model: Model, stop_early: bool = False) -> None:
        self._model = model
        self._violation_checks = (
            _collect_violation_checks(model.properties) if stop_early else []
        )
        self._initial_state = model.initial()
        self._predecessor_by_state: dict[
            Hashable, tuple[Hashable, str] | None
        ] = {}
        self._edges: list[tuple[Hashable, Hashable]] = []
        self.has_stopped_early = False
        self._explore()

    @property
    def edge_count(self) -> int:
        """Count of explored moves."""
        return len(self._edges)

    def __len__(self) -> int:
        return len(self._predecessor_by_state)

    def check(self, properties: tuple[Property, ...]) -> list[Result]:
        """Return the verdict of pyModelChecking on each property."""
        number_by_state = {
            state: index
            for index, state in enumerate(self._predecessor_by_state)
        }
        edges = [
            (number_by_state[source], number_by_state[destination])
            for source, destination in self._edges
        ]
        return [
            self._check_property(prop, number_by_state, edges)
            for prop in properties
        ]

    def _check_property(
        self,
        prop: Property,
        number_by_state: dict[Hashable, int],
        edges: list[tuple[int, int]],
    ) -> Result:
        labels = {
            number: {atom for atom, holds in prop.atoms.items() if holds(state)}
            for state, number in number_by_state.items()
        }
        structure = Kripke(
            S=list(number_by_state.values()), S0=[0], R=edges, L=labels
        )
        satisfied = modelcheck(structure, prop.formula)
        if 0 in satisfied:
            return Result(prop.meaning, True, ())
        trace = self._find_trace(prop, structure, number_by_state)
        is_safety = prop.formula.startswith(SAFETY_PREFIX)
        return Result(prop.meaning, False, trace, is_safety)

    def _find_trace(
        self,
        prop: Property,
        structure: Kripke,
        number_by_state: dict[Hashable, int],
    ) -> tuple[str, ...]:
        """Return the moves to the first state that violates a property."""
        inner_formula = prop.formula.removeprefix('A G ')
        satisfied = modelcheck(structure, inner_formula)
        for state, number in number_by_state.items():
            if number not in satisfied:
                return self._build_trace(state)
        return ()

    def _build_trace(self, state: Hashable) -> tuple[str, ...]:
        labels: list[str] = []
        predecessor = self._predecessor_by_state[state]
        while predecessor is not None:
            state, label = predecessor
            labels.append(label)
            predecessor = self._predecessor_by_state[state]
        return tuple(reversed(labels))

    def _explore(self) -> None:
        self._predecessor_by_state[self._initial_state] = None
        frontier = deque([self._initial_state])
        while frontier:
            state = frontier.popleft()
            has_moves = False
            for label, following in self._model.moves(state):
                has_moves = True
                self._edges.append((state, following))
                if following not in self._predecessor_by_state:
                    self._predecessor_by_state[following] = (state, label)
                    frontier.append(following)
            if not has_moves:
                self._edges.append((state, state))
            if any(
                is_violated(state) for is_violated in self._violation_checks
            ):
                self._edges.extend(
                    (unexplored, unexplored) for unexplored in frontier
                )
                self.has_stopped_early = True
                return
            if len(self._predecessor_by_state) > MAX_STATES:
                raise RuntimeError(
                    f'{self._model.name}: more states than MAX_STATES'
                )


def _collect_violation_checks(
    properties: tuple[Property, ...],
) -> list[Callable[[Any], bool]]:
    """Return the predicate of the atom of each property ``A G not atom``."""
    return [
        prop.atoms[prop.formula.removeprefix(SAFETY_PREFIX)]
        for prop in properties
        if prop.formula.startswith(SAFETY_PREFIX)
    ]
