"""Heads of messages: encoding, and checks against request smuggling beyond those of h11.

A head that two HTTP implementations may parse differently is refused, not forwarded.
"""

import re

import h11

MAX_REQUEST_HEAD_BYTES = 16 * 1024
CONTENT_LENGTH = re.compile(rb"\ncontent-length:[ \t]*([^\r\n]*)")


def problem(head: bytes) -> str | None:
    """Problem with the bytes of a possibly incomplete head, or None.

    Bytes after the empty line that ends the head are ignored.
    """
    end = head.find(b"\r\n\r\n")
    if end >= 0:
        head = head[: end + 2]
    if len(head) > MAX_REQUEST_HEAD_BYTES:
        return "the head is too large"
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


def encode_head(lines: list[bytes]) -> bytes:
    """Joins the lines of a head, with the empty line that ends it.

    Raises h11.LocalProtocolError if a line contains a line break, which would start another line.
    """
    head = b"\r\n".join(lines)
    if head.count(b"\n") != len(lines) - 1 or head.count(b"\r") != len(lines) - 1:
        raise h11.LocalProtocolError("a line of the head contains a line break")
    return head + b"\r\n\r\n"
