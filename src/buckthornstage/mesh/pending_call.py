"""One call in progress at the egress."""

import dataclasses

from buckthornstage.http import messages
from buckthornstage.limits import held_bytes
from buckthornstage.link import frames
from buckthornstage.routing import routes


@dataclasses.dataclass(eq=False)
class PendingCall:
    """Request and progress of a call; times are monotonic ms."""

    call_id: str
    request: messages.Request
    route: routes.Route
    service: str
    version: int
    began_ms: int
    goal_ms: int
    latest_ms: int
    deadline_ms: int
    caller_deadline_ms: int | None
    """When the caller's timeout ends; None if the caller sent none."""
    fingerprint: str
    is_resubmitted: bool
    tenant: routes.Tenant | None = None
    token_end_ms: int = 0
    """Until when the token of the tenant's quota may be given back; 0 without one."""
    headers: frames.HeaderPairs = ()
    transfer_ms: int = 0
    """Time that a long response takes from this node to the caller; 0 if it is not counted. The
    response has to be here so much before the goal."""
    sends: int = 0
    """Times that the call has reached a target, or may have; an open attempt counts."""
    may_have_run: bool = False
    is_above_share: bool = False
    """Whether an ingress refused the call because its tenant is above its share."""
    retry_ms: int | None = None
    response: frames.Response | None = None
    """A target's failure response, returned if no other attempt yields a response."""
    hold: held_bytes.CallHold | None = None
    """Memory for the response until the call has ended; then it counts for the connection."""
    tried: set[str] = dataclasses.field(default_factory=set)

    def frame(self, origin_service: str, now_ms: int) -> frames.Call:
        """The call as sent to an ingress now; `origin_service` is the service of this node."""
        return frames.Call(
            self.call_id,
            self.request.method,
            self.request.target,
            self.headers,
            self.request.body,
            origin_service,
            self.service,
            self.route.name,
            self.route.priority,
            self.route.is_idempotent,
            max(0, self.goal_ms - self.transfer_ms - now_ms),
            max(0, self.latest_ms - self.transfer_ms - now_ms),
            max(0, self.deadline_ms - now_ms),
            self.sends > 0,
            self.is_resubmitted,
            self.route.is_bulk,
            tenant=self.tenant.name if self.tenant else "",
            tenant_priority=self.tenant.priority if self.tenant else 0,
            attempt=max(1, len(self.tried)),
        )
