"""Bound on the connections of callers, so that others have descriptors left."""

# Descriptors of a process that are not for sockets.
FILE_DESCRIPTORS = 200
# The others are for targets, peers and the store: each request that is served
# needs one more, and some connections are closing.
CALLER_SHARE = 0.6


def compute_max_connections(max_descriptors: int | None) -> int | None:
    """
    Return how many connections of callers may be open.

    :param max_descriptors: descriptor limit of the process, none for no limit
    :return: none for no bound
    """
    if max_descriptors is None:
        return None
    return max(1, round((max_descriptors - FILE_DESCRIPTORS) * CALLER_SHARE))
