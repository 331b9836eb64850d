"""Datagrams of tenant quotas, on the same socket as beacons.

A tenant is named by a number of 32 bits (`quotas.lenders.tenant_ids`). Amounts of tokens between
lenders are in hundredths, so that they stay whole numbers of few bytes.
"""

from typing import Annotated

import msgspec

from buckthornstage import decoding
from buckthornstage.link import frames

MAX_TENANT_ID = (1 << 32) - 1
MAX_ENTRIES = 80
"""Entries of a report, up to 16 bytes each, so that a datagram stays below the usual MTU."""
ARRAY_MASK, SHORT_ARRAY, FIRST_NOT_TAG = 0xF0, 0x90, 0x80
"""A datagram of this module is a short msgpack array that begins with its tag, a small number; a
beacon begins with another array."""

TenantId = Annotated[int, msgspec.Meta(ge=0, le=MAX_TENANT_ID)]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A node asks its lender for tokens of a tenant; a repeated one has the same sequence."""

    sender: decoding.Address
    sequence: decoding.Whole
    tenant: TenantId
    waiting: decoding.Count
    """Requests that wait for a token."""
    ahead: decoding.Count
    """Further tokens for the requests expected soon."""
    arrived: decoding.Count
    """Requests of the tenant at the node since its last ask, also those refused."""
    returned: decoding.Count = 0
    """Tokens of earlier leases that the node gives back."""
    unleased: decoding.Count = 0
    """Requests that the node has let through without a lease."""


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to an ask; `wait_ms` is 0 if all waiting requests got a token."""

    sequence: decoding.Whole
    tenant: TenantId
    tokens: decoding.Count
    wait_ms: decoding.WholeMilliseconds = 0
    """Time until the lender expects a token."""
    demand_per_token: Annotated[float, msgspec.Meta(ge=0, le=decoding.MAX_COUNT)] = 0.0
    """Requests of the zone for each token that its lender grants."""


class Redirect(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answer to an ask by a node that does not lend this tenant; `lender` does."""

    sequence: decoding.Whole
    tenant: TenantId
    lender: decoding.Address


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One tenant in a report; tokens in hundredths."""

    tenant: TenantId
    need: decoding.Whole = 0
    """Tokens that the sender's zone lacks."""
    given: decoding.Whole = 0
    """All tokens that the sender has given to the receiver since the epochs of the report."""


class Report(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What a lender needs from the lender of another zone, and what it gives.

    Between two lenders of one zone it says which tenants the sender lends. `receiver_epoch` is the
    receiver's as known to the sender, 0 if unknown.
    """

    sender: decoding.Address
    zone: decoding.Name
    epoch: decoding.Whole
    receiver_epoch: decoding.Whole
    entries: tuple[Entry, ...]


Message = Ask | Grant | Redirect | Report
_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def is_quota_message(payload: bytes) -> bool:
    """Whether a datagram is a message of this module rather than a beacon."""
    is_short_array = len(payload) > 1 and payload[0] & ARRAY_MASK == SHORT_ARRAY
    return is_short_array and payload[1] < FIRST_NOT_TAG


def encode(message: Message) -> bytes:
    """Encodes a datagram."""
    return _ENCODER.encode(message)


def decode(payload: bytes) -> Message:
    """Decodes a datagram; raises ProtocolError."""
    return frames.decode_as("quota datagram", _DECODER, payload)
