"""Frames and datagrams between nodes: msgpack, with a length prefix before each frame.

The ranges of fields are checked when a frame, datagram or entry is decoded.
"""

import enum
import struct
from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec

from buckthornstage import decoding, errors
from buckthornstage.http import messages
from buckthornstage.rollouts import orders

MAX_FRAME_BYTES = 96 << 20  # a call with the largest body that any node accepts
MAX_OUTCOME_BYTES = 512 * 1024  # head and short body of a response, or a piece of a long body
MAX_COPY_FRAME_BYTES = 8 << 20  # a packed configuration and the directory
MAX_LINK_MBPS = 1e6
MAX_FINGERPRINT_CHARACTERS = 32
FAILURE_STATUS = 500
MAX_PING_BYTES = 64
LENGTH = struct.Struct(">I")
T = TypeVar("T")
MAX_JOINED_BODY_BYTES = 64 * 1024  # a longer body of a call is sent without a copy of it
CALL_PREFIX_BYTES = 4
"""Of an encoded call: an array header with a 16-bit length, and the tag."""
BODY_HEADER = struct.Struct(">BI")
BODY_TYPE = 0xC6  # msgpack's binary type with a 32-bit length
EMPTY_BODY_BYTES = 2

HeaderPairs = tuple[tuple[bytes, bytes], ...]
Identity = tuple[decoding.Name, decoding.Whole]
"""Instance and start time (Unix ms) of a lifetime."""


class IngressStatus(enum.IntEnum):
    """Whether the ingress of a node accepts calls, and why not."""

    OPEN = 0
    NO_TARGET = 1
    TARGET_DRAINING = 2
    TARGET_DOWN = 3
    LEAVING = 4


class IngressState(msgspec.Struct, frozen=True, array_like=True):
    """Load and health of an ingress; times in ms. `run_ms` is 0 before the target's first run.

    `success_rate` is the recent share of runs with a proper response of the target.
    """

    status: IngressStatus
    slots: decoding.Count = 0
    running: decoding.Count = 0
    waiting: decoding.Count = 0
    run_ms: decoding.Milliseconds = 0.0
    cold_left_ms: decoding.WholeMilliseconds = 0
    success_rate: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    bulk_ms: decoding.WholeMilliseconds = 0
    """Expected time to transfer a long body that is ready now over the link of the node."""
    start_interval_ms: decoding.Milliseconds = 0.0
    """Time between two requests that the target's limit allows; 0 without a limit."""
    start_wait_ms: decoding.Milliseconds = 0.0
    """Time until the limit allows one more request than those that wait."""
    leaving: Identity | None = None
    """The target's lifetime, if the target leaves."""
    number: decoding.Whole = 0
    """Rises with each state that a process takes; 0 from an older release."""
    is_rejecting: bool = False
    """Whether the target rejects calls although it has free slots; it then gets trials only."""
    trial_wait_ms: decoding.WholeMilliseconds = 0
    """Time until a rejecting target may get a trial."""
    pace_percent: decoding.Count = 0
    """Pace of the target that `run_ms` is based on; 100 is as usual, 0 if the target tells none."""
    mean_pace_percent: decoding.Count = 0
    ahead: tuple[tuple[decoding.Whole, decoding.Count], ...] = ()
    """Route priorities of waiting calls, and how many waiting calls an additional one of that
    priority would have before it. Empty if the order is by priority alone."""
    version: decoding.Name = ""
    """Version of the target's software; empty while its node knows of no roll-out."""


class Call(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A call for the target of the receiving node; times are remaining ms."""

    call_id: str
    method: str
    target: str
    headers: HeaderPairs
    body: memoryview
    """Any bytes-like object; a decoded one is a view of the frame."""
    origin_service: str
    service: str
    route: str
    priority: int
    is_idempotent: bool
    goal_ms: int
    latest_ms: int
    deadline_ms: Annotated[int, msgspec.Meta(le=decoding.MAX_MS)]
    is_retry: bool = False
    """Whether an earlier attempt reached a target, or may have; calls that this run makes are
    retries as well."""
    is_resubmitted: bool = False
    """Whether the caller resubmits the call after a refusal."""
    is_bulk: bool = False
    """Whether a long response is expected, which occupies the link of the target's node."""
    known_ended: Identity | None = None
    """Lifetime of the receiver's target that leaves, as known to the sender. Responses that the
    sender has passed on bind it also if the receiver has restarted."""
    sequence: int = 0
    """Number of the call on its connection, from 1 on; its outcome has the same number. 0 from a
    release that does not number them."""
    tenant: str = ""
    """Name of the tenant whose key the request carries; empty for none."""
    tenant_priority: int = 0
    attempt: int = 1
    """Number of the ingress that this submission of the call is sent to."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The call has not run at this ingress and will not run there.

    `reached_target` is true if the target itself refused it, which counts as a send.
    """

    reason: str
    retry_ms: int
    state: IngressState
    reached_target: bool = False
    call_id: str = ""
    sequence: int = 0


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The call may have run; there is no complete response known to be the target's."""

    reason: str
    state: IngressState
    call_id: str = ""
    sequence: int = 0


class Response(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Complete response of the target; `length` more bytes follow `body` in `Chunk` frames."""

    status: Annotated[int, msgspec.Meta(ge=200, le=messages.MAX_STATUS)]
    headers: HeaderPairs
    body: bytes
    length: decoding.Whole
    state: IngressState
    run_ms: int = 0
    call_id: str = ""
    sequence: int = 0


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Next piece of a response body."""

    data: bytes


class ChunkRead(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The receiver has read one more `Chunk`; the sender paces long bodies by these frames."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Sent back by the receiver, which shows that the connection still works.

    A release that does not know it closes the connection; the sender then opens another one.
    """


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Requests the newest configuration and the directory of the receiver."""

    version: int
    directory_size: int = 0
    """Number of nodes that the requester knows."""


class Copy(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Packed configuration and directory of a node.

    The configuration is empty if the node has no newer one, if it sends a delta instead, or if it
    has just sent many copies. The entries are empty if the requester knows as many nodes.
    """

    configuration: bytes
    entries: tuple[msgspec.Raw, ...]
    """Each is a `NodeEntry`, decoded by itself: an invalid one hides no other."""
    delta: bytes = b""
    """Packed difference between the requester's version and the newest one."""


class NodeEntry(msgspec.Struct, frozen=True, array_like=True):
    """Location of a node; `link_address` is "IP:port" for frames and datagrams."""

    node: decoding.Name
    zone: decoding.Name
    service: decoding.Name
    link_address: decoding.Address
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=MAX_LINK_MBPS)] = 0.0
    """Rate of the node's network link; 0 if unknown."""
    ended: Identity | None = None
    """Not in datagrams: lifetime of the node's target that most recently announced that it is
    leaving, for the node's next process."""


class StoredEntry(NodeEntry, frozen=True, array_like=True):
    """Record of a node in the store, with all leaves that the node has acknowledged."""

    ended_before: tuple[Identity, ...] = ()
    """Lifetimes that left, beside `ended`."""
    ended_instances: tuple[decoding.Name, ...] = ()
    """Targets that left without a start time, before any announcement of them was received."""

    def location(self) -> NodeEntry:
        """The entry for the directory."""
        return NodeEntry(*(getattr(self, name) for name in NodeEntry.__struct_fields__))


class CrashCount(msgspec.Struct, frozen=True, array_like=True):
    """Target crashes attributed to one request, as lifetimes (instance, start in Unix ms)."""

    fingerprint: Annotated[str, msgspec.Meta(max_length=MAX_FINGERPRINT_CHARACTERS)]
    lifetimes: tuple[Identity, ...]


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """Datagram with the state of a node; `is_request` requests one in return.

    `incarnation` (Unix ms) and `sequence` order the datagrams of one node.
    """

    entry: NodeEntry
    incarnation: decoding.Whole
    sequence: decoding.Whole
    is_request: bool
    echo_sequence: int
    version: decoding.Whole
    state: IngressState
    crashes: tuple[CrashCount, ...] = ()
    known_incarnation: decoding.Whole = 0
    """The receiver's incarnation as known to the sender. A restarted node whose clock was set back
    raises its own above it; otherwise its peers would discard its datagrams as old."""
    ended: Identity | None = None
    """Lifetime of the sender's target that most recently announced that it is leaving."""
    known_ended: Identity | None = None
    """The `ended` of the receiver as known to the sender. The receiver must send no calls to that
    lifetime even after a restart, and a late announcement must not reopen the ingress."""
    is_store_reader: bool = False
    """Whether the sender reads the store successfully."""
    directory_size: decoding.Count = 0
    """Number of nodes that the sender knows."""
    store_era: decoding.Whole = 0
    """Latest era of the store that the sender knows of; 0 if none."""
    refuted: tuple[CrashCount, ...] = ()
    """Crashes that their request did not cause, as a target has answered it since."""
    rollouts: tuple[orders.Notice, ...] = ()
    """Roll-outs that the sender knows; its shares count if it reads the store."""


Frame = Call | Refused | Failed | Response | Chunk | ChunkRead | Ping | Fetch | Copy
_FRAME_DECODER = msgspec.msgpack.Decoder(Frame)
_BEACON_DECODER = msgspec.msgpack.Decoder(Beacon)
_ENTRY_DECODER = msgspec.msgpack.Decoder(StoredEntry)
_ENCODER = msgspec.msgpack.Encoder()


def is_success(outcome: Refused | Failed | Response) -> bool:
    """Whether the outcome is a target's response with a status below `FAILURE_STATUS`."""
    return isinstance(outcome, Response) and outcome.status < FAILURE_STATUS


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame with its length prefix."""
    payload = _ENCODER.encode(frame)
    return LENGTH.pack(len(payload)) + payload


def encode_parts(frame: Frame) -> tuple[bytes | memoryview, ...]:
    """Like `encode_frame`, in parts, so that the long body of a call is not copied."""
    if not isinstance(frame, Call) or len(frame.body) <= MAX_JOINED_BODY_BYTES:
        return (encode_frame(frame),)
    whole = _ENCODER.encode(msgspec.structs.replace(frame, body=b""))
    names = frame.__struct_fields__
    before = (getattr(frame, name) for name in names[: names.index("body")])
    start = CALL_PREFIX_BYTES + sum(len(_ENCODER.encode(value)) for value in before)
    head = whole[:start] + BODY_HEADER.pack(BODY_TYPE, len(frame.body))
    rest = whole[start + EMPTY_BODY_BYTES :]
    size = len(head) + len(frame.body) + len(rest)
    return LENGTH.pack(size) + head, memoryview(frame.body), rest


def decode_frame(payload: bytes | memoryview) -> Frame:
    """Decodes a frame without its length prefix; raises ProtocolError."""
    return decode_as("frame", _FRAME_DECODER, payload)


def encode_beacon(beacon: Beacon) -> bytes:
    """Encodes a datagram."""
    return _ENCODER.encode(beacon)


def decode_beacon(payload: bytes) -> Beacon:
    """Decodes a datagram; raises ProtocolError."""
    return decode_as("datagram", _BEACON_DECODER, payload)


def decode_as(name: str, decoder: msgspec.msgpack.Decoder[T], payload: bytes | memoryview) -> T:
    """Decodes bytes of a peer; raises ProtocolError, which calls them `name`."""
    try:
        return decoding.decode(decoder, payload)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f"{name} of {len(payload)} bytes: {error}") from error


def encode_entries(entries: Iterable[NodeEntry]) -> tuple[msgspec.Raw, ...]:
    """Encodes directory entries for a `Copy`."""
    return tuple(msgspec.Raw(_ENCODER.encode(entry)) for entry in entries)


def decode_entry(payload: bytes) -> StoredEntry:
    """Decodes a directory entry or the record of a node; raises ProtocolError."""
    try:
        return decoding.decode(_ENTRY_DECODER, payload)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f"entry of {len(payload)} bytes: {error}") from error
