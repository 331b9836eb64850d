"""State of the ingress that callers select by, with load, health and what the target tells.

Functions of the ingress, given as `own`.
"""

import math
from typing import TYPE_CHECKING

from buckthornstage import decoding
from buckthornstage.link import frames

if TYPE_CHECKING:
    from buckthornstage.mesh import ingress


def of(own: "ingress.Ingress") -> frames.IngressState:
    """State to report now; each one has a higher number."""
    now_ms = own.clock.now_ms()
    current, pace = own.lifetimes.current, own.queue.pace
    own.states += 1
    return frames.IngressState(
        own.status(),
        own.queue.slots,
        own.queue.taken(now_ms),
        len(own.queue.waiting),
        round(own.queue.run_ms(now_ms), 1) if own.queue.has_average else 0.0,
        max(0, current.cold_until_ms - now_ms) if current else 0,
        round(own.success_rate * own.queue.rejections.acceptance, 2),
        min(round(own.pacer.body_ms(now_ms)), decoding.MAX_MS),
        round(own.queue.rate.interval_ms, 1),
        min(round(own.queue.rate.delay_ms(now_ms, len(own.queue.waiting))), decoding.MAX_MS),
        current.identity if current and current.identity in own.lifetimes.ended else None,
        own.states,
        own.queue.rejections.is_closed(now_ms),
        math.ceil(own.queue.rejections.trial_wait_ms(now_ms)),
        round(100 * pace.factor(now_ms)) if pace.is_known else 0,
        round(100 * pace.mean) if pace.is_known else 0,
        own.queue.fair_order.ahead(own.queue.waiting),
        version=current.version if current and own.tells_version else "",
    )
