"""Ports of the processes that the soak and the tests start."""

from pathlib import Path

from bench.launch import find_free_port

KERNEL_PORTS = Path('/proc/sys/net/ipv4/ip_local_port_range')


# A proxy of the soak got the port of its instance, which then never started.
def test_free_ports_are_not_given_to_other_sockets():
    first, last = map(int, KERNEL_PORTS.read_text().split())
    for _ in range(50):
        assert not first <= find_free_port() <= last
