"""Side effects that the core requests from its runtime."""

import dataclasses

from buckthornstage.document import state
from buckthornstage.history import events
from buckthornstage.protocol import messages


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a control address; delivery is not guaranteed."""

    address: str
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True)
class Activate:
    """Activate this state: build the routing table from it and replace the current one."""

    document: state.DocumentState


@dataclasses.dataclass(frozen=True)
class MembersChanged:
    """The member table changed; the routing table is rebuilt from it."""


@dataclasses.dataclass(frozen=True)
class Emit:
    """Record an event; the runtime adds node, sequence and time."""

    kind: events.EventKind
    version: int
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class AppendLog:
    """Append `payload` to a stream of the log; the core tolerates a failure."""

    stream: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class CrashReported:
    """A peer reported a request that crashed a target; the crash guard counts it."""

    report: messages.CrashReport


Effect = Send | Activate | MembersChanged | Emit | AppendLog | CrashReported
