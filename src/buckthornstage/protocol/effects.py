"""Effects that the core asks its surroundings to carry out."""

import dataclasses

from buckthornstage.document import state
from buckthornstage.history import events
from buckthornstage.protocol import messages


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a control address; it may be lost."""

    address: str
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True)
class Activate:
    """Put this state in force: build the routing table from it and swap it in."""

    document: state.DocumentState


@dataclasses.dataclass(frozen=True)
class MembersChanged:
    """The member table changed; the routing table is rebuilt from it."""


@dataclasses.dataclass(frozen=True)
class Emit:
    """Record an event; the surroundings add node, sequence and time."""

    kind: events.EventKind
    version: int
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class AppendLog:
    """Append `payload` to a stream of the log; failure is tolerated by the sender."""

    stream: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class CrashReported:
    """A peer reported a request that broke a target; the crash guard counts it."""

    report: messages.CrashReport


Effect = Send | Activate | MembersChanged | Emit | AppendLog | CrashReported
