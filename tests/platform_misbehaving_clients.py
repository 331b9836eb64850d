"""Crowds of clients that send heads and bodies so as to use up a node's memory or processor."""

import dataclasses
import itertools
from collections.abc import Callable

import platform_crowd
import trio

KB, MB = 1 << 10, 1 << 20
LEGAL_BYTES = 4 * MB
"""A body of legal size; ten of them fit the memory that a node of 100 MB has for bodies."""
MAX_BODY_BYTES = 64 * MB
LOW_MAX_BODY_BYTES = MB
EXCESS_BYTES = 128 * MB
COMPLETE_EVERY = 5
"""Every fifth client completes its request; the others stop short of its end and stay."""
BLOCK_BYTES = 64 * KB
PIECE_BYTES = 16 * KB
LAST_CHUNK = b"0\r\n\r\n"
LARGE_CHUNK = b"10000\r\n" + bytes(64 * KB) + b"\r\n"
SMALL_CHUNKS = (b"64\r\n" + bytes(100) + b"\r\n") * 600
TINY_CHUNKS = b"1\r\nx\r\n" * (BLOCK_BYTES // 6)
MANY_FIELDS = b"a:\r\n" * 3_800
"""Header lines that fit the 16 KB of `max_header_bytes`."""
LONG_FIELD = b"x: " + b"y" * (15 * KB) + b"\r\n"
UNANSWERED = "/far-read/unanswered-"
"""Paths of requests to which the target does not respond."""
CHUNKED = b"transfer-encoding: chunked\r\n"


def _head(path, fields):
    """A head; `fields` are further header lines."""
    usual = platform_crowd.encode(path, "POST").partition(b"content-length")[0]
    return usual + fields + b"\r\n"


def _length(size):
    return b"content-length: %d\r\n" % size


def _near(number, turn):
    return f"/pay/{number}-{turn}"


def _far(number, turn):
    return f"/far-read/{number}-{turn}"


async def _stay(stream):
    """Keeps the connection open until the node ends it."""
    while await stream.receive_some(BLOCK_BYTES):
        pass


def _missing(number):
    return 0 if number % COMPLETE_EVERY == 0 else 1


async def _whole(stream, number, turn):
    head = _head(_near(number, turn), _length(LEGAL_BYTES))
    await stream.send_all(head + bytes(LEGAL_BYTES - _missing(number)))
    await _stay(stream)


async def _in_pieces(stream, number, turn):
    await stream.send_all(_head(_near(number, turn), _length(LEGAL_BYTES)))
    body = memoryview(bytes(LEGAL_BYTES - _missing(number)))
    for position in range(0, len(body), PIECE_BYTES):
        await stream.send_all(body[position : position + PIECE_BYTES])
        await trio.sleep(0)
    await _stay(stream)


def _complete(path_of):
    async def visit(stream, number, turn):
        head = _head(path_of(number, turn), _length(LEGAL_BYTES))
        await stream.send_all(head + bytes(LEGAL_BYTES))
        await _stay(stream)

    return visit


def _chunked(block, blocks):
    """A body of so many blocks of chunks; most clients leave out the last chunk."""

    async def visit(stream, number, turn):
        await stream.send_all(_head(_near(number, turn), CHUNKED))
        for _ in range(blocks):
            await stream.send_all(block)
        if not _missing(number):
            await stream.send_all(LAST_CHUNK)
        await _stay(stream)

    return visit


_tiny_chunks = _chunked(TINY_CHUNKS, 16)


async def _tiny_chunks_beside_whole(stream, number, turn):
    """Tiny chunks while bodies of other clients use the memory."""
    await (_whole if number % 2 else _tiny_chunks)(stream, number, turn)


async def _announced_excess(stream, number, turn):
    await stream.send_all(_head(_near(number, turn), _length(EXCESS_BYTES)))
    for _ in range(EXCESS_BYTES // BLOCK_BYTES):
        await stream.send_all(bytes(BLOCK_BYTES))


_sent_excess = _chunked(LARGE_CHUNK, EXCESS_BYTES // BLOCK_BYTES)


async def _many_fields(stream, number, turn):
    await stream.send_all(_head(_near(number, turn), MANY_FIELDS + _length(100)) + bytes(99))
    await _stay(stream)


async def _many_fields_pipelined(stream, number, turn):
    """Complete requests, which wait for their target."""
    for part in itertools.count():
        path = f"{UNANSWERED}{number}-{turn}-{part}"
        await stream.send_all(_head(path, MANY_FIELDS).replace(b"POST", b"GET", 1))


async def _many_trailers(stream, number, turn):
    """Complete requests, one behind the other."""
    for part in itertools.count():
        head = _head(_near(number, f"{turn}-{part}"), CHUNKED)
        await stream.send_all(head + b"1\r\nx\r\n0\r\n" + MANY_FIELDS + b"\r\n")
        if not await stream.receive_some(BLOCK_BYTES):
            return


async def _deep_paths(stream, number, turn):
    """Paths that consist of slashes, and match a route."""
    while True:
        await stream.send_all(platform_crowd.encode("/read" + "/" * 15_000))
        if not await stream.receive_some(BLOCK_BYTES):
            return


async def _unfinished_heads(stream, number, turn):
    await stream.send_all(_head(_near(number, turn), LONG_FIELD)[:-2])
    await _stay(stream)


async def _unfinished_heads_beside_whole(stream, number, turn):
    await (_unfinished_heads if number % 10 else _whole)(stream, number, turn)


async def _unfinished_small_bodies(stream, number, turn):
    await stream.send_all(_head(_near(number, turn), _length(100)) + bytes(99))
    await _stay(stream)


async def unfinished_megabytes(stream, number, turn):
    """For the listeners that take no calls: a long body that lacks its last byte."""
    await stream.send_all(_head(_near(number, turn), _length(MB)) + bytes(MB - 1))
    await _stay(stream)


@dataclasses.dataclass(frozen=True)
class Crowd:
    """So many clients, each of which runs `visit(stream, number, turn)` again and again."""

    visit: Callable
    clients: int = 60
    max_body_bytes: int = MAX_BODY_BYTES
    served: tuple[str, ...] = ("/read/1", "/far-read/1")
    """Paths of ordinary requests that are answered beside the crowd."""


def costly_requests():
    """Complete requests inside the limits, as bytes."""
    chunked = _head(_near(0, 0), CHUNKED)
    return (
        _head(_near(0, 1), MANY_FIELDS + _length(0)),
        _head(_far(0, 2), MANY_FIELDS + _length(0)),
        _head(_near(0, 3), LONG_FIELD + _length(0)),
        chunked + TINY_CHUNKS * 16 + LAST_CHUNK,
        chunked + LARGE_CHUNK * 64 + LAST_CHUNK,
        chunked + b"1\r\nx\r\n0\r\n" + MANY_FIELDS + b"\r\n",
        platform_crowd.encode("/read" + "/" * 15_000),
    )


CROWDS = {
    "whole": Crowd(_whole),
    "in_pieces": Crowd(_in_pieces),
    "complete": Crowd(_complete(_near)),
    "complete_over_link": Crowd(_complete(_far)),
    "large_chunks": Crowd(_chunked(LARGE_CHUNK, LEGAL_BYTES // BLOCK_BYTES)),
    "small_chunks": Crowd(_chunked(SMALL_CHUNKS, 60)),
    "tiny_chunks": Crowd(_tiny_chunks),
    "tiny_chunks_on_all_connections": Crowd(_tiny_chunks, 600),
    "tiny_chunks_beside_whole": Crowd(_tiny_chunks_beside_whole),
    "announced_excess": Crowd(_announced_excess),
    "announced_excess_of_low_limit": Crowd(_announced_excess, max_body_bytes=LOW_MAX_BODY_BYTES),
    "sent_excess": Crowd(_sent_excess),
    "sent_excess_of_low_limit": Crowd(_sent_excess, max_body_bytes=LOW_MAX_BODY_BYTES),
    "many_fields": Crowd(_many_fields, 300),
    "many_fields_pipelined": Crowd(_many_fields_pipelined, served=("/read/1",)),
    "many_trailers": Crowd(_many_trailers, 300),
    "deep_paths": Crowd(_deep_paths, 300),
    "unfinished_heads": Crowd(_unfinished_heads, 300),
    "unfinished_heads_beside_whole": Crowd(_unfinished_heads_beside_whole, 480),
    "unfinished_small_bodies": Crowd(_unfinished_small_bodies, 600),
}
