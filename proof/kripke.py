"""Builds Kripke structures of models and checks their properties."""

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import Any, NamedTuple, Protocol

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck

MAX_STATES = 400_000
SAFETY_PREFIX = 'A G not '


class Move(NamedTuple):
    """A move of a model: what happens, and the state after it."""

    label: str
    state: Hashable


class Property(NamedTuple):
    """
    A property in CTL.

    :param meaning: what it says in words
    :param formula: CTL formula over the atoms
    :param atoms: tells for each atom whether it holds in a state
    """

    meaning: str
    formula: str
    atoms: dict[str, Callable[[Any], bool]]


class Model(Protocol):
    """A specification: a chart and the environment around it."""

    name: str
    properties: tuple[Property, ...]

    def initial(self) -> Hashable:
        """Return the first state."""

    def moves(self, state: Any) -> Iterator[Move]:
        """Return all moves that are possible in a state."""


class Result(NamedTuple):
    """
    Verdict of one property.

    :param trace: labels of moves to a state that decides, empty where the
        property holds
    """

    meaning: str
    holds: bool
    trace: tuple[str, ...]
    safety: bool = True


class StateSpace:
    """
    All reachable states of a model.

    :param model: the model
    :param stop_early: whether to stop at the first state that breaks a
        safety property; enough to find a counterexample
    """

    def __init__(self, model: Model, stop_early: bool = False) -> None:
        self._model = model
        self._bad = _bad_states(model.properties) if stop_early else []
        self._first = model.initial()
        self._came: dict[Hashable, tuple[Hashable, str] | None] = {}
        self._edges: list[tuple[Hashable, Hashable]] = []
        self.stopped = False
        self._explore()

    @property
    def edges(self) -> int:
        """How many moves there are."""
        return len(self._edges)

    def __len__(self) -> int:
        return len(self._came)

    def check(self, properties: tuple[Property, ...]) -> list[Result]:
        """Check properties with pyModelChecking."""
        numbers = {state: at for at, state in enumerate(self._came)}
        edges = [(numbers[one], numbers[two]) for one, two in self._edges]
        return [self._check(wanted, numbers, edges) for wanted in properties]

    def _check(
        self,
        wanted: Property,
        numbers: dict[Hashable, int],
        edges: list[tuple[int, int]],
    ) -> Result:
        labels = {
            number: {
                atom for atom, holds in wanted.atoms.items() if holds(state)
            }
            for state, number in numbers.items()
        }
        structure = Kripke(S=list(numbers.values()), S0=[0], R=edges, L=labels)
        satisfied = modelcheck(structure, wanted.formula)
        if 0 in satisfied:
            return Result(wanted.meaning, True, ())
        trace = self._trace(wanted, structure, numbers)
        safety = wanted.formula.startswith(SAFETY_PREFIX)
        return Result(wanted.meaning, False, trace, safety)

    def _trace(
        self,
        wanted: Property,
        structure: Kripke,
        numbers: dict[Hashable, int],
    ) -> tuple[str, ...]:
        """Return the way to the first state that breaks an AG property."""
        inner = wanted.formula.removeprefix('A G ')
        satisfied = modelcheck(structure, inner)
        for state, number in numbers.items():
            if number not in satisfied:
                return self._way_to(state)
        return ()

    def _way_to(self, state: Hashable) -> tuple[str, ...]:
        labels: list[str] = []
        came = self._came[state]
        while came is not None:
            state, label = came
            labels.append(label)
            came = self._came[state]
        return tuple(reversed(labels))

    def _explore(self) -> None:
        self._came[self._first] = None
        waiting = deque([self._first])
        while waiting:
            state = waiting.popleft()
            moved = False
            for label, following in self._model.moves(state):
                moved = True
                self._edges.append((state, following))
                if following not in self._came:
                    self._came[following] = (state, label)
                    waiting.append(following)
            if not moved:
                self._edges.append((state, state))
            if any(is_bad(state) for is_bad in self._bad):
                self._edges.extend((rest, rest) for rest in waiting)
                self.stopped = True
                return
            if len(self._came) > MAX_STATES:
                raise RuntimeError(f'{self._model.name}: too many states')


def _bad_states(
    properties: tuple[Property, ...],
) -> list[Callable[[Any], bool]]:
    """Return for each property ``A G not atom`` what its atom tells."""
    return [
        wanted.atoms[wanted.formula.removeprefix(SAFETY_PREFIX)]
        for wanted in properties
        if wanted.formula.startswith(SAFETY_PREFIX)
    ]
