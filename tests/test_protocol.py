"""Tests of the codec for messages between nodes."""

import hypothesis
import pytest
from hypothesis import strategies as st

from buckthornstage import errors
from buckthornstage.protocol import codec, messages

SECRET = b"0123456789abcdef0123456789abcdef"
ENVELOPE = messages.Envelope("a1", 7, "a", "127.0.0.1:1", 5, 0, messages.Ping(3))


def test_envelope_survives_the_wire():
    assert codec.decode(codec.encode(ENVELOPE, SECRET), SECRET) == ENVELOPE


def test_message_with_another_secret_is_refused():
    """A process outside the mesh must not be able to send messages."""
    with pytest.raises(errors.ProtocolError, match="mesh_secret"):
        codec.decode(codec.encode(ENVELOPE, b"x" * 32), SECRET)


@hypothesis.given(st.data())
def test_changed_byte_is_refused(data):
    """A message that was altered in transit must not be decoded."""
    datagram = bytearray(codec.encode(ENVELOPE, SECRET))
    index = data.draw(st.integers(0, len(datagram) - 1))
    datagram[index] ^= data.draw(st.integers(1, 255))
    with pytest.raises(errors.ProtocolError):
        codec.decode(bytes(datagram), SECRET)


@hypothesis.given(st.binary(max_size=200))
def test_authentic_garbage_is_a_protocol_error(body):
    """Any other exception would end the receiving task."""
    datagram = codec._mac(body, SECRET) + body
    with pytest.raises(errors.ProtocolError):
        codec.decode(datagram, SECRET)


def test_oversized_message_is_refused_before_it_is_sent():
    big = messages.CrashReport("f" * (1 << 20), "t", 1)
    envelope = messages.Envelope("a1", 7, "a", "127.0.0.1:1", 5, 0, big)
    with pytest.raises(errors.ProtocolError, match="1 MiB"):
        codec.encode(envelope, SECRET)
