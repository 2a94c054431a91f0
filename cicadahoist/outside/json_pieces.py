"""
Splits JSON texts into the pieces of their outermost level.

A decoder of whole texts fails at one piece that it cannot decode, such as a
lone surrogate or very deep nesting. Here, strings and inner levels are only
passed over, without recursion; each piece can then be decoded by itself.
"""

import re
from collections.abc import Iterator

import msgspec

from cicadahoist.errors import WireError

# A string, a run of brackets that open or close, or a comma.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)
_SPACE = b' \t\r\n'


def split_array(text: bytes) -> list[bytes]:
    """
    Return the elements of an array, undecoded.

    :raises WireError: the text is no array
    """
    inner = _strip_brackets(text, b'[', b']')
    return [
        inner[start:end].strip(_SPACE) for start, end in _find_pieces(inner)
    ]


def split_object(text: bytes) -> dict[str, bytes]:
    """
    Return the members of an object by key, undecoded.

    :raises WireError: the text is no object, or has an unreadable key
    """
    inner = _strip_brackets(text, b'{', b'}')
    member_by_key = {}
    for start, end in _find_pieces(inner):
        key, colon, member = _cut_member(inner[start:end])
        if not colon:
            raise WireError(
                'JSON object with a member that has no key',
                remedy='check the address of the store in the settings',
            )
        member_by_key[key] = member
    return member_by_key


def _strip_brackets(text: bytes, opening: bytes, closing: bytes) -> bytes:
    text = text.strip(_SPACE)
    if not text.startswith(opening) or not text.endswith(closing):
        raise WireError(
            f'JSON text does not begin with {opening.decode()}',
            remedy='check the address of the store in the settings',
        )
    return text[1:-1]


def _find_pieces(inner: bytes) -> Iterator[tuple[int, int]]:
    """Yield where the pieces between commas of the outermost level lie."""
    depth = 0
    start = 0
    for found in _TOKEN.finditer(inner):
        token = found[0]
        depth += _count_levels(token)
        if token == b',' and not depth:
            yield start, found.start()
            start = found.end()
    if inner[start:].strip(_SPACE):
        yield start, len(inner)


def _count_levels(token: bytes) -> int:
    """Return how many levels begin at a token, negative for those that end."""
    if token[0] in b'[{':
        return len(token)
    return -len(token) if token[0] in b']}' else 0


def _cut_member(member: bytes) -> tuple[str, bool, bytes]:
    """Return the key of a member, whether it has one, and its content."""
    found = _TOKEN.match(member.lstrip(_SPACE))
    if found is None or not found[0].startswith(b'"'):
        return '', False, b''
    rest = member.lstrip(_SPACE)[found.end() :].lstrip(_SPACE)
    try:
        key = msgspec.json.decode(found[0], type=str)
    except msgspec.MsgspecError:
        return '', False, b''
    return key, rest.startswith(b':'), rest[1:].strip(_SPACE)
