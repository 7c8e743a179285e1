"""Free addresses for the servers of tests."""

from __future__ import annotations

import socket

from boragespool.bench.ports import free_address


def test_addresses_are_different_and_can_be_bound():
    """No address may be given twice, and each must be free.

    With ports that the kernel chose, 41 of 8,000 draws of 11 addresses had
    one twice, and the second server could not listen.
    """
    addresses = [free_address() for _ in range(1_000)]
    assert len(set(addresses)) == len(addresses)
    for address in addresses[:50]:
        host, _, port = address.partition(':')
        with socket.socket() as listener:
            listener.bind((host, int(port)))


def test_ports_are_not_taken_for_outgoing_connections():
    """The ports must be outside the range of outgoing connections."""
    with open('/proc/sys/net/ipv4/ip_local_port_range') as limits:
        first_port = int(limits.read().split()[0])
    assert all(
        int(free_address().partition(':')[2]) < first_port for _ in range(100)
    )
