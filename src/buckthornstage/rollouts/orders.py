"""Orders to roll out a version of a service, and what a node knows of them.

A verdict counts only once it is in the store, where one writer wins; until then a roll-out runs,
with permission to expose the new version or without it.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from buckthornstage import decoding

PERMISSION_MS = 1_500
"""Time for which a permission of a judge holds. It is renewed twice a second; an egress that hears
nothing for this time sends nothing more to the new version, well within the 5 s allowed."""
MAX_NOTICES = 8
"""Roll-outs told in one datagram, the newest first; more at the same time are not exposed."""


class State(enum.IntEnum):
    """State of a roll-out; the last two are final."""

    RUNNING = 0
    COMPLETED = 1
    ROLLED_BACK = 2


class Order(msgspec.Struct, frozen=True, array_like=True):
    """Order of the operator; a higher `number` is a later order."""

    service: decoding.Name
    version: decoding.Name
    period_ms: decoding.WholeMilliseconds
    number: decoding.Whole


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells of a roll-out. `share` is the part of the service's calls that may go to
    the new version; it counts only if the sender is a judge."""

    order: Order
    state: State = State.RUNNING
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


@dataclasses.dataclass
class Known:
    """A roll-out as this node knows it; times are monotonic ms that count suspensions."""

    order: Order
    learned_ms: int
    state: State = State.RUNNING
    share: float = 0.0
    permitted_until_ms: int = -1

    def permitted_share(self, now_ms: int) -> float:
        """Share of calls that may go to the new version now."""
        return self.share if now_ms < self.permitted_until_ms else 0.0


class KnownRollouts:
    """Latest roll-out of each service that this node knows."""

    def __init__(self) -> None:
        self.by_service: dict[str, Known] = {}

    def learn_order(self, order: Order, now_ms: int) -> bool:
        """Takes an order unless a later one of its service is known; returns whether it is new."""
        known = self.by_service.get(order.service)
        if known is not None and known.order.number >= order.number:
            return False
        self.by_service[order.service] = Known(order, now_ms)
        return True

    def learn(self, notice: Notice, is_judge: bool, now_ms: int) -> bool:
        """Takes what another node tells; returns whether order or state are new to this node."""
        is_changed = self.learn_order(notice.order, now_ms)
        known = self.by_service[notice.order.service]
        if known.order != notice.order or known.state is not State.RUNNING:
            return is_changed
        if notice.state is not State.RUNNING:
            self.decide(notice.order, notice.state)
            return True
        if is_judge:
            self.permit(known, notice.share, now_ms)
        return is_changed

    def permit(self, known: Known, share: float, now_ms: int) -> None:
        """Renews the permission of a judge, or with share 0 withdraws it.

        Judges may differ for a moment, so the smaller share counts while the other one holds.
        """
        is_smaller = share < known.permitted_share(now_ms)
        if is_smaller or share >= known.share or now_ms >= known.permitted_until_ms:
            known.share, known.permitted_until_ms = share, now_ms + PERMISSION_MS

    def decide(self, order: Order, state: State) -> None:
        """Takes the verdict that the store holds for an order."""
        known = self.by_service.get(order.service)
        if known is not None and known.order == order and known.state is State.RUNNING:
            known.state, known.share = state, 0.0

    def notices(self, shares: dict[str, float]) -> tuple[Notice, ...]:
        """What this node tells others; `shares` by service is what it permits as a judge."""
        newest = sorted(self.by_service.values(), key=lambda known: -known.order.number)
        return tuple(
            Notice(known.order, known.state, shares.get(known.order.service, 0.0))
            for known in newest[:MAX_NOTICES]
        )
