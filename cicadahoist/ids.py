"""Random identifiers, digests and rendezvous hashing."""

import hashlib
import secrets

import xxhash

NONCE_BYTES = 12
DIGEST_BYTES = 16


def new_nonce() -> str:
    """Return a random identifier, unique among all processes."""
    return secrets.token_hex(NONCE_BYTES)


def key_digest(key: str) -> str:
    """Return the digest under which an API key is stored (SHA-256, hex)."""
    return hashlib.sha256(key.encode()).hexdigest()


def body_digest(body: bytes) -> str:
    """Return the digest by which equal request bodies are matched."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def fast_hash(text: str) -> int:
    """Return a 64-bit hash for placement; it is not cryptographic."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous(key: str, names: list[str], count: int = 1) -> list[str]:
    """
    Choose members for a key by rendezvous hashing.

    All processes that have the same names choose the same members.

    :param key: key to place
    :param names: names of the live members
    :param count: number of members to choose
    :return: at most ``count`` names, the highest ranked first
    """
    ranked = sorted(names, key=lambda name: (fast_hash(f'{key}\0{name}'), name))
    return ranked[:count]
