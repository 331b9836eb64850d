"""Free ports on loopback for processes that bind them later."""

import itertools
import os
import socket
from collections.abc import Iterator

FIRST_PORT, LAST_PORT = 12_000, 26_000
"""Below the ephemeral range: a port of that range can be taken by any outgoing connection between
its choice and its use. Apart from the range of `demo.deployment`, whose reservations would be made
between the two as well."""
BLOCK_PORTS = 200
"""Ports that one process claims at a time, so that concurrent runs never choose the same one."""
MAX_BLOCKS = 10
"""Blocks of one process; it then uses its ports again, so that other runs find some."""

_claims: list[socket.socket] = []
"""Sockets on the first port of each claimed block, open until the process ends."""


def claim_block() -> range | None:
    """Ports of a block that no other process has claimed; None if all are claimed."""
    count = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS
    for step in range(count):
        first = FIRST_PORT + (os.getpid() + step) % count * BLOCK_PORTS
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return range(first + 1, first + BLOCK_PORTS)
    return None


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _ports() -> Iterator[int]:
    """Ports to try; those of all claimed blocks come before one is tried again."""
    claimed: list[int] = []
    while len(_claims) < MAX_BLOCKS and (block := claim_block()) is not None:
        claimed += block
        yield from block
    yield from itertools.cycle(claimed)


_free_ports = _ports()


def free_address() -> str:
    """Loopback address with a port that is free for TCP and UDP; RuntimeError if there is none."""
    for port in itertools.islice(_free_ports, LAST_PORT - FIRST_PORT):
        if _is_free(port):
            return f"127.0.0.1:{port}"
    raise RuntimeError("no port is free; end other test runs on this machine")
