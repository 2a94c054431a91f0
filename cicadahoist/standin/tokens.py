"""Deterministic output of the engine stand-in by model and prompt."""

from collections.abc import Iterable

from cicadahoist.ids import fast_hash

VOCABULARY = tuple(f'w{number:03x} ' for number in range(1024))
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_SHIFT_BITS = 20


def prompt_digest(model: str, prompt: str) -> int:
    """Return the hash that determines all output tokens of a prompt."""
    return fast_hash(f'{model}\0{prompt}')


def token_text(digest: int, offset: int) -> str:
    """Return the text of the output token at an offset."""
    mixed = digest ^ (offset + 1) * _HASH_MULTIPLIER
    return VOCABULARY[(mixed >> _HASH_SHIFT_BITS) % len(VOCABULARY)]


def output_text(model: str, prompt: str, offsets: Iterable[int]) -> str:
    """Return the expected text of the output tokens at some offsets."""
    digest = prompt_digest(model, prompt)
    return ''.join(token_text(digest, offset) for offset in offsets)
