"""What callers, targets and the soak itself saw; all times are ms from the start of the run."""

import dataclasses

from buckthornstage.soak import plan

LIMITED_TENANT = "limited-account"


@dataclasses.dataclass(frozen=True)
class Key:
    """Key of a tenant, as a call carries it; `is_withdrawn` if no node in touch may accept it."""

    key: str = ""
    tenant: str = ""
    is_withdrawn: bool = False
    version: int = 0
    """Version that added the key; 0 if all versions have it."""


NO_KEY = Key()


@dataclasses.dataclass(frozen=True)
class Sent:
    """A caller sent a request to a node."""

    at_ms: int
    call_id: str
    service: str
    node: int
    is_safe: bool
    version: int = 0
    """Version that added the route; 0 if all versions have it."""
    key: Key = NO_KEY

    @property
    def is_refusable(self) -> bool:
        """Whether its key or its tenant's quota may keep it from being served in calm."""
        return self.key.is_withdrawn or self.key.tenant == LIMITED_TENANT


@dataclasses.dataclass(frozen=True)
class Answered:
    """A caller received a whole response."""

    at_ms: int
    call_id: str
    status: int
    echoed_id: str
    has_seal: bool
    body: bytes


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """The connection of a caller ended, or it left before the response."""

    at_ms: int
    call_id: str
    has_left: bool


@dataclasses.dataclass(frozen=True)
class Ran:
    """A target began to run a request; `node` is the index of its node."""

    at_ms: int
    call_id: str
    instance: str
    service: str
    node: int = 0
    tenant: str = ""
    has_key: bool = False
    """Whether the target saw a key."""


@dataclasses.dataclass(frozen=True)
class RunEnded:
    """A target has ended a run of a request, with or without a response, or has crashed."""

    at_ms: int
    run: Ran


@dataclasses.dataclass(frozen=True)
class LeaveAcknowledged:
    """A node acknowledged that a target is leaving, or passed on a response that says so."""

    at_ms: int
    instance: str


@dataclasses.dataclass(frozen=True)
class Limited:
    """A target named a limit in all its responses from `at_ms` to `end_ms`."""

    at_ms: int
    end_ms: int
    instance: str
    per_second: float


@dataclasses.dataclass(frozen=True)
class VersionAcknowledged:
    """The store has a version of the operator."""

    at_ms: int
    version: int


@dataclasses.dataclass(frozen=True)
class InForce:
    """A node process put a version in force; `process` counts the starts of the node."""

    node: str
    process: int
    version: int


@dataclasses.dataclass(frozen=True)
class Exited:
    """The process of a node had ended by itself at the end of the run."""

    node: str
    status: int


@dataclasses.dataclass(frozen=True)
class MemoryPeak:
    """Largest resident size of the processes of a node."""

    node: str
    size: int


@dataclasses.dataclass
class Record:
    """Everything that the judge may use."""

    faults: tuple[plan.Fault, ...] = ()
    duration_ms: int = 0
    sent: list[Sent] = dataclasses.field(default_factory=list)
    answered: list[Answered] = dataclasses.field(default_factory=list)
    unanswered: list[Unanswered] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    run_ends: list[RunEnded] = dataclasses.field(default_factory=list)
    leaves: list[LeaveAcknowledged] = dataclasses.field(default_factory=list)
    limits: list[Limited] = dataclasses.field(default_factory=list)
    versions: list[VersionAcknowledged] = dataclasses.field(default_factory=list)
    in_force: list[InForce] = dataclasses.field(default_factory=list)
    exits: list[Exited] = dataclasses.field(default_factory=list)
    peaks: list[MemoryPeak] = dataclasses.field(default_factory=list)
