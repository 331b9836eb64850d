"""Events of the history: what happened, on which node, when, and at which version."""

import enum

import msgspec


class EventKind(enum.StrEnum):
    """Closed list of recorded events."""

    NODE_STARTED = "node_started"
    NODE_READY = "node_ready"
    NODE_LEAVING = "node_leaving"
    VERSION_ACTIVATED = "version_activated"
    PUBLISH_ACCEPTED = "publish_accepted"
    PUBLISH_REFUSED = "publish_refused"
    CHECKPOINT_APPENDED = "checkpoint_appended"
    CHECKPOINT_LOADED = "checkpoint_loaded"
    CHECKPOINT_MISMATCH = "checkpoint_mismatch"
    STATE_DIVERGED = "state_diverged"
    RULES_UNKNOWN = "rules_unknown"
    MEMBER_JOINED = "member_joined"
    MEMBER_SUSPECT = "member_suspect"
    MEMBER_LEAVING = "member_leaving"
    MEMBER_DEAD = "member_dead"
    TARGET_CHANGED = "target_changed"
    LOG_LOST = "log_lost"
    LOG_BACK = "log_back"
    ZONE_CUT = "zone_cut"
    ZONE_BACK = "zone_back"
    READER_STARTED = "reader_started"
    READER_STOPPED = "reader_stopped"
    CRASH_REFUSED = "crash_refused"
    ACCESS_DENIED = "access_denied"


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One event. `sequence` counts from 1 in each incarnation of a node.

    `hlc_ms` and `hlc_counter` form the hybrid logical timestamp; `uncertainty_ms` is twice the
    largest clock skew that the node had observed.
    """

    node: str
    incarnation: int
    sequence: int
    zone: str
    hlc_ms: int
    hlc_counter: int
    kind: EventKind
    version: int
    detail: str = ""
    uncertainty_ms: int = 0
