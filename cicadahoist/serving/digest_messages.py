"""Datagrams of load digests."""

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.policy.crash_containment import Blame
from cicadahoist.policy.engine_board import RoleClosure
from cicadahoist.policy.load_digests.contributions import (
    Contribution,
    MemberMark,
)
from cicadahoist.policy.peer_loads import InFlightLoad
from cicadahoist.policy.target_pauses import TargetLife
from cicadahoist.serving.load_group import PrefillStart
from cicadahoist.serving.part_news import PartNews

# First byte of all datagrams of this module; the second byte is the kind.
DIGEST_MARK = b'D'
# Load report of an instance to its collector.
REPORT_MARK = b'DR'
# Load report of an instance that gets no digests, to all others.
UNSERVED_MARK = b'DU'
# Loads of the members of one collector, for other collectors.
SECTION_MARK = b'DS'
# The same, passed on by an instance that does not collect itself.
FORWARDED_MARK = b'DF'
# Load of all instances, for the members of one collector.
MEMBER_MARK = b'DM'
MARK_BYTES = 2
STAMP_BYTES = 8


class ToldBackoff(msgspec.Struct, array_like=True, frozen=True):
    """
    A back-off from an engine that has rejected work.

    :param left_ms: how much longer it lasts
    :param source: the instance whose work was rejected
    """

    left_ms: int
    source: str


class DigestNews(msgspec.Struct, array_like=True, frozen=True):
    """
    What instances have reported beside their loads.

    The fields are those of a load report.
    """

    prefills: tuple[PrefillStart, ...] = ()
    closed_by_engine: dict[str, RoleClosure] = {}
    blames: tuple[Blame, ...] = ()
    part_news: PartNews | None = None
    departures: tuple[TargetLife, ...] = ()
    backoff_by_engine: dict[str, ToldBackoff] = {}


class SectionDigest(msgspec.Struct, array_like=True, frozen=True):
    """
    Loads of the members of one collector, for other collectors.

    The loads are those of each member: another collector may have some of them
    as well, and each is to count once.

    :param collector: the instance that has received their reports
    :param true_ms: wall-clock time by the clock of the collector
    :param contributions: loads that were reported lately
    :param news: what was reported since the last digest
    :param heard: collectors that the sender hears itself
    """

    collector: str
    true_ms: int
    contributions: tuple[Contribution, ...] = ()
    news: DigestNews = DigestNews()
    heard: tuple[str, ...] = ()


class MemberDigest(msgspec.Struct, array_like=True, frozen=True):
    """
    Load of all instances, for the members of one collector.

    :param collector: the instance that has summed them
    :param true_ms: wall-clock time by the clock of the collector
    :param by_engine: sum of the loads by engine
    :param news: what was reported since the last digest
    :param marks: instances whose loads are in the sum, none if they are as in
        the digest before
    """

    collector: str
    true_ms: int
    by_engine: dict[str, InFlightLoad]
    news: DigestNews = DigestNews()
    marks: dict[str, MemberMark] | None = None


SECTION_CODEC: Codec[SectionDigest] = Codec.packed('load digest', SectionDigest)
_MEMBER_CODEC: Codec[MemberDigest] = Codec.packed('load digest', MemberDigest)


def encode_for_members(digest: MemberDigest) -> bytes:
    """Return the part of the datagram that is the same for all members."""
    return _MEMBER_CODEC.encode(digest)


def frame_for_member(stamp_ms: int, body: bytes) -> bytes:
    """
    Return the datagram of a digest for one member.

    :param stamp_ms: time of the member's report in the sum, 0 for none
    :param body: the encoded digest, the same for all members
    """
    return b''.join(
        (MEMBER_MARK, stamp_ms.to_bytes(STAMP_BYTES, 'big', signed=True), body)
    )


def parse_for_member(datagram: bytes) -> tuple[int, MemberDigest]:
    """
    Return the time of the own report in a digest, and the digest.

    :raises WireError: the datagram is none for a member
    """
    begin = MARK_BYTES + STAMP_BYTES
    stamp = datagram[MARK_BYTES:begin]
    if len(stamp) < STAMP_BYTES:
        raise WireError(
            'load digest too short',
            remedy='run the same version on all instances',
        )
    stamp_ms = int.from_bytes(stamp, 'big', signed=True)
    return stamp_ms, _MEMBER_CODEC.decode(datagram[begin:])
