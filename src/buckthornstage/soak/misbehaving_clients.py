"""A crowd of clients at one node that send requests which use up its memory or processor."""

import contextlib
import itertools

import trio

from buckthornstage.http import tcp_stream
from buckthornstage.soak import platform_caller

CLIENTS = 160
RETURN_S = 0.2
"""Pause of a client whose connection was ended."""
BODY_BYTES = 1 << 20
READ_BYTES = 4_096
MANY_FIELDS = b"a:\r\n" * 3_800
LONG_FIELD = b"x: " + b"y" * 15_000 + b"\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000
LONG_CHUNK = b"8000\r\n" + bytes(0x8000) + b"\r\n"
LENGTH = b"content-length: %d\r\n" % BODY_BYTES
CHUNKED = b"transfer-encoding: chunked\r\n"
UNFINISHED = (
    (LENGTH + b"\r\n", bytes(BODY_BYTES - 1)),
    (CHUNKED + b"\r\n", LONG_CHUNK * 31),
    (LENGTH + b"\r\n", bytes(BODY_BYTES // 2)),
    (CHUNKED + b"\r\n", TINY_CHUNKS),
    (LENGTH + MANY_FIELDS + b"\r\n", b"x"),
    (LENGTH + LONG_FIELD, b""),
)
"""Header lines, with the end of the head, and bodies of requests that never end."""


async def run(address: str, path: str) -> None:
    """Sends unfinished requests for paths below `path` until cancelled."""
    host, _, port = address.rpartition(":")
    start = f"POST {path} HTTP/1.1\r\nhost: {platform_caller.HOST}\r\n".encode()

    async def visit(fields: bytes, body: bytes) -> None:
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                stream = await tcp_stream.connect(host, int(port))
                try:
                    await stream.send_all(start + fields)
                    await stream.send_all(body)
                    while await stream.receive_some(READ_BYTES):
                        pass
                finally:
                    stream.close()
            await trio.sleep(RETURN_S)

    async with trio.open_nursery() as nursery:
        for fields, body in itertools.islice(itertools.cycle(UNFINISHED), CLIENTS):
            nursery.start_soon(visit, fields, body)
