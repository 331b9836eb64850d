"""Heads of messages: encoding, and checks against request smuggling beyond those of h11.

A head that two HTTP implementations may parse differently is refused, not forwarded.
"""

import http as http_status
import re

import h11

from buckthornstage.http import messages

MAX_REQUEST_LINE_BYTES = 16 * 1024
MAX_HEADER_BYTES = 16 * 1024
"""Largest header section, the lines behind the request line, unless a server sets another."""
LINE_ENDS_BYTES = 4
"""The end of the request line, and the empty line that ends a head."""
STATUSES_WITHOUT_BODY = (204, 304)
MAX_JOINED_BODY_BYTES = 64 * 1024
"""Part of a body that is copied behind the head of its message, to be sent by one system call."""
REASONS = {status.value: status.phrase.encode("ascii") for status in http_status.HTTPStatus}
CONTENT_LENGTH = re.compile(rb"\ncontent-length:[ \t]*([^\r\n]*)")


def problem(head: bytes) -> str | None:
    """Problem with the bytes of a possibly incomplete head, or None.

    Bytes after the empty line that ends the head are ignored.
    """
    end = head.find(b"\r\n\r\n")
    if end >= 0:
        head = head[: end + 2]
    if head.count(b"\n") != head.count(b"\r\n"):
        return "a line of the head ends without a carriage return"
    if b"\n " in head or b"\n\t" in head:
        return "a header is folded over several lines"
    if end < 0:
        return None
    lower = head.lower()
    lengths = CONTENT_LENGTH.findall(lower) if b"content-length" in lower else ()
    if len(lengths) > 1:
        return "content-length is given twice"
    if lengths and not lengths[0].rstrip(b" \t").isdigit():
        return "content-length must be a decimal number"
    if b"\ntransfer-encoding" in lower:
        if lengths:
            return "content-length and transfer-encoding exclude each other"
        if lower.partition(b"\r\n")[0].endswith(b"http/1.0"):
            return "HTTP/1.0 has no transfer-encoding"
    return None


def size_problem(head: bytes, max_header_bytes: int) -> str | None:
    """Which part of a possibly incomplete head is too long, or None.

    Bytes after the empty line that ends the head are ignored.
    """
    if len(head) <= min(MAX_REQUEST_LINE_BYTES, max_header_bytes):
        return None
    line_end = head.find(b"\r\n", 0, MAX_REQUEST_LINE_BYTES + 2)
    if line_end < 0:
        is_long = len(head) > MAX_REQUEST_LINE_BYTES + 1
        return f"the request line is above {MAX_REQUEST_LINE_BYTES} bytes" if is_long else None
    start = line_end + 2
    end = head.find(b"\r\n\r\n", line_end)
    # Of an incomplete head, the last byte may belong to the empty line.
    size = (end + 2 if end >= 0 else len(head) - 1) - start
    return f"the header is above {max_header_bytes} bytes" if size > max_header_bytes else None


def encode_head(lines: list[bytes]) -> bytes:
    """Joins the lines of a head, with the empty line that ends it.

    Raises h11.LocalProtocolError if a line contains a line break, which would start another line.
    """
    head = b"\r\n".join(lines)
    if head.count(b"\n") != len(lines) - 1 or head.count(b"\r") != len(lines) - 1:
        raise h11.LocalProtocolError("a line of the head contains a line break")
    return head + b"\r\n\r\n"


def encode_response(
    response: messages.Response, is_last: bool, is_head: bool
) -> tuple[bytes, memoryview | bytes]:
    """Encodes a response whose whole body is known; `is_head`: it answers a HEAD request.

    Returns the head with the first MAX_JOINED_BODY_BYTES of the body, and the rest, which is not
    copied. The headers come from parsed messages or from this node. Encoding them by h11 would
    validate them again, which takes as long as parsing. Raises h11.LocalProtocolError for a header
    with a line break.
    """
    lines = [b"HTTP/1.1 %d %s" % (response.status, REASONS.get(response.status, b""))]
    lines += [name + b": " + value for name, value in response.headers]
    has_length = any(name == b"content-length" for name, _ in response.headers)
    if not has_length and response.status not in STATUSES_WITHOUT_BODY:
        lines.append(b"content-length: %d" % len(response.body))
    if is_last:
        lines.append(b"connection: close")
    if is_head or response.status in STATUSES_WITHOUT_BODY:
        return encode_head(lines), b""
    body = response.body
    if len(body) <= MAX_JOINED_BODY_BYTES:
        return encode_head(lines) + body, b""
    view = memoryview(body)
    return encode_head(lines) + view[:MAX_JOINED_BODY_BYTES], view[MAX_JOINED_BODY_BYTES:]
