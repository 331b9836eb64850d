"""Large artefacts with reproducible contents, served with support for byte ranges."""

import functools
import random
import re

import xxhash

from buckthornstage.http import messages

CHUNK_BYTES = 64 * 1024
CACHED_ARTEFACTS = 16  # several MiB each

_RANGE = re.compile(r"bytes=(\d+)-(\d*)\Z")


@functools.lru_cache(maxsize=CACHED_ARTEFACTS)
def content(path: str, size: int) -> bytes:
    """Contents of the artefact at `path`: pseudo-random, but the same in every process."""
    return random.Random(xxhash.xxh3_64_intdigest(path.encode("utf-8"))).randbytes(size)


@functools.lru_cache(maxsize=CACHED_ARTEFACTS)
def digest(path: str, size: int) -> str:
    """xxh3-128 digest of the contents in hex; in quotes it is the strong ETag."""
    return xxhash.xxh3_128_hexdigest(content(path, size))


def response(request: messages.Request, path: str, size: int) -> messages.Response:
    """Responds to a GET request; supports Range and If-Range."""
    data = content(path, size)
    etag = f'"{digest(path, size)}"'
    headers = [
        (b"etag", etag.encode("ascii")),
        (b"accept-ranges", b"bytes"),
        (b"content-type", b"application/octet-stream"),
    ]
    start, end, status = 0, size, 200
    range_match = _RANGE.match(request.header(b"range") or "")
    if range_match and request.header(b"if-range") in (None, etag):
        start = int(range_match[1])
        end = min(size, int(range_match[2]) + 1) if range_match[2] else size
        status = 206
        if start >= end:
            headers.append((b"content-range", f"bytes */{size}".encode("ascii")))
            return messages.Response(416, tuple(headers))
        headers.append((b"content-range", f"bytes {start}-{end - 1}/{size}".encode("ascii")))
    headers.append((b"content-length", str(end - start).encode("ascii")))

    async def chunks():
        for position in range(start, end, CHUNK_BYTES):
            yield data[position : min(end, position + CHUNK_BYTES)]

    return messages.Response(status, tuple(headers), stream=chunks())
