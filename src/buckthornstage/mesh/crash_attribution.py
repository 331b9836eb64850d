"""Attributes crashes of the target to the calls that it ran, for the crash guard.

Functions of the ingress, given as `own`; log lines name it "door".
"""

from typing import TYPE_CHECKING

from buckthornstage.http import messages
from buckthornstage.limits import crash_guard
from buckthornstage.link import frames
from buckthornstage.membership import lifetimes

if TYPE_CHECKING:
    from buckthornstage.mesh import ingress


def record_broken(
    own: "ingress.Ingress",
    call: frames.Call,
    current: lifetimes.Lifetime,
    error: messages.HttpError,
) -> None:
    """Remembers a call whose connection broke, which may be because it crashed the target."""
    if not isinstance(error, messages.MalformedResponseError):
        fingerprint = crash_guard.fingerprint(call.method, call.target, call.body)
        own.broken_calls.record(fingerprint, current.identity, own.clock.now_ms())


def record_crashes(own: "ingress.Ingress", ended: lifetimes.Lifetime | None) -> None:
    """Attributes the end of a lifetime to the calls that broke shortly before it."""
    if ended is None:
        return
    now_ms = own.clock.now_ms()
    for fingerprint in own.broken_calls.pop_crashes(ended.identity, now_ms):
        own.guard.record(fingerprint, ended.identity, now_ms)
        own.log.emit("door", "crash_suspected", fingerprint=fingerprint, instance=ended.instance)
