"""Datagrams that the instances of a deployment exchange."""

# The most that UDP over IPv4 carries. The socket of each instance reads this
# much, so that whatever one sends, another reads whole.
MAX_DATAGRAM_BYTES = 65_507
