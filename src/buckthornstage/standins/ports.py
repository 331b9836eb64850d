"""Free ports on loopback for processes that bind them later."""

import itertools
import os
import socket
from collections.abc import Iterator

FIRST_PORT, LAST_PORT = 12_000, 26_000
"""Below the ephemeral range: a port of that range can be taken by any outgoing connection between
its choice and its use. Apart from the range of `demo.deployment`, whose reservations would be made
between the two as well."""
PORTS_PER_RUN = 1_999


def _ports() -> Iterator[int]:
    """Ports to try; the first one depends on the process ID, so that concurrent runs differ."""
    count = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORTS_PER_RUN % count
    return itertools.cycle(FIRST_PORT + (start + step) % count for step in range(count))


_free_ports = _ports()


def free_address() -> str:
    """Loopback address with a port that is free for TCP and UDP; RuntimeError if there is none."""
    for port in itertools.islice(_free_ports, LAST_PORT - FIRST_PORT):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue  # another process uses it
            return f"127.0.0.1:{port}"
    raise RuntimeError("no port is free; end other test runs on this machine")
