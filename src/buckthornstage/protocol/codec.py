"""Encoding and authentication of envelopes."""

import hashlib
import hmac

import msgspec

from buckthornstage import decoding, errors
from buckthornstage.protocol import messages

MAX_DATAGRAM_BYTES = 1 << 20
MAC_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.Envelope)


def _mac(body: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]


def encode(envelope: messages.Envelope, secret: bytes) -> bytes:
    """Returns MAC and body; raises ProtocolError if the result exceeds 1 MiB."""
    body = _ENCODER.encode(envelope)
    if len(body) + MAC_BYTES > MAX_DATAGRAM_BYTES:
        kind = type(envelope.message).__name__
        raise errors.ProtocolError(f"{kind} has {len(body)} bytes; the limit is 1 MiB")
    return _mac(body, secret) + body


def decode(datagram: bytes, secret: bytes) -> messages.Envelope:
    """Verifies and decodes a datagram.

    Raises ProtocolError for anything that `encode` did not produce with this secret.
    """
    if not MAC_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
        raise errors.ProtocolError(f"a datagram of {len(datagram)} bytes has an invalid size")
    mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, secret)):
        raise errors.ProtocolError(
            "the MAC is wrong; check that mesh_secret is the same on all nodes"
        )
    try:
        return decoding.decode(_DECODER, body)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f"the message is malformed: {error}") from error
