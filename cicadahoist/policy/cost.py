"""Cost estimates of requests, from the output lengths of earlier ones."""

import math
from array import array
from collections import OrderedDict

import msgspec

OUTPUT_TOKEN_WEIGHT = 4
BIN_COUNT = 40
BINS_PER_OCTAVE = 2
DECAY_PER_SAMPLE = 0.98
MEDIAN = 0.5
MAX_PAIRS = 20_000
DEFAULT_OUTPUT_TOKENS = 128


class Cost(msgspec.Struct, frozen=True):
    """
    Work of a request at a target.

    :param prefill_tokens: prompt tokens that are not in the prefix cache
    :param decode_tokens: output tokens
    """

    prefill_tokens: int
    decode_tokens: int

    @property
    def weighted_tokens(self) -> int:
        """The whole work, as a number of prompt tokens of equal cost."""
        return self.prefill_tokens + OUTPUT_TOKEN_WEIGHT * self.decode_tokens


class LengthSketch:
    """Histogram of lengths with decaying weights, in bins of half an octave."""

    __slots__ = ('_total_weight', '_weights')

    def __init__(self) -> None:
        self._weights = array('f', [0]) * BIN_COUNT
        self._total_weight = float(0)

    def add(self, length: int) -> None:
        """Add a length and decay the weight of all earlier ones."""
        weights = self._weights
        for bin_number, weight in enumerate(weights):
            weights[bin_number] = weight * DECAY_PER_SAMPLE
        weights[_find_bin(length)] += 1
        self._total_weight = self._total_weight * DECAY_PER_SAMPLE + 1

    def estimate_quantile(self, fraction: float) -> int:
        """
        Return the length below which ``fraction`` of the lengths lie.

        The result is exact to one bin.
        """
        remaining_weight = self._total_weight * fraction
        for bin_number, weight in enumerate(self._weights):
            remaining_weight -= weight
            if remaining_weight <= 0:
                return _compute_bin_length(bin_number)
        return _compute_bin_length(BIN_COUNT)


class CostModel:
    """
    Estimates costs from earlier requests of a workspace on a route.

    Keeps at most ``MAX_PAIRS`` pairs of workspace and route; the least
    recently used one is evicted.
    """

    __slots__ = ('_sketches_by_pair',)

    def __init__(self) -> None:
        self._sketches_by_pair: OrderedDict[tuple[str, str], LengthSketch] = (
            OrderedDict()
        )

    def estimate(
        self,
        workspace: str,
        route: str,
        prompt_tokens: int,
        cached_tokens: int,
        max_tokens: int,
    ) -> Cost:
        """
        Return the expected cost of a request.

        :param prompt_tokens: length of the prompt
        :param cached_tokens: part of the prompt in a target's prefix cache
        :param max_tokens: output limit set by the caller, 0 for none
        """
        sketch = self._sketches_by_pair.get((workspace, route))
        decode_tokens = DEFAULT_OUTPUT_TOKENS
        if sketch is not None:
            decode_tokens = sketch.estimate_quantile(MEDIAN)
        if max_tokens:
            decode_tokens = min(decode_tokens, max_tokens)
        return Cost(max(0, prompt_tokens - cached_tokens), decode_tokens)

    def observe(
        self, workspace: str, route: str, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Record the output length of a finished request."""
        pair = (workspace, route)
        sketch = self._sketches_by_pair.get(pair)
        if sketch is None:
            sketch = LengthSketch()
            self._sketches_by_pair[pair] = sketch
        sketch.add(output_tokens)
        self._sketches_by_pair.move_to_end(pair)
        if len(self._sketches_by_pair) > MAX_PAIRS:
            self._sketches_by_pair.popitem(last=False)


def _find_bin(length: int) -> int:
    octaves = math.log2(max(1, length))
    return min(BIN_COUNT - 1, round(octaves * BINS_PER_OCTAVE))


def _compute_bin_length(bin_number: int) -> int:
    return round(math.pow(2, bin_number / BINS_PER_OCTAVE))
