"""Minimal HTTP/1.1 messages over asyncio streams, for stand-ins and test clients."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 64 * 1024


class BrokenError(Exception):
    """The connection ended, or what arrived is no message."""


@dataclasses.dataclass
class Message:
    """A request or a response; `first` is the first line, header names are lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split()[1])

    @property
    def method(self) -> str:
        return self.first.split()[0]

    @property
    def target(self) -> str:
        return self.first.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message; None if the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenError("ended within a head") from error
    except (OSError, asyncio.LimitOverrunError) as error:
        raise BrokenError(repr(error)) from error
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError) as error:
        raise BrokenError("ended within a body") from error
    return Message(first, headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Bytes of a message with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def fetch(
    ip: str, port: int, first: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Message | None:
    """One request on a new connection; None if there is no response in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=MAX_HEAD_BYTES)
            try:
                writer.write(encode(first, {"Host": ip, **headers}, body))
                await writer.drain()
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, BrokenError):
        return None
