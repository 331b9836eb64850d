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
    """Order of the operator; a higher `number` is a later order: the store's era, and the offset of
    the order's record in it."""

    service: decoding.Name
    version: decoding.Name
    period_ms: decoding.WholeMilliseconds
    number: tuple[decoding.Whole, decoding.Whole]


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells of a roll-out. `share` is the part of the service's calls that a judge lets
    go to the new version; None from a node that does not judge it."""

    order: Order
    state: State = State.RUNNING
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None


@dataclasses.dataclass
class Known:
    """A roll-out as this node knows it; times are monotonic ms that count suspensions."""

    order: Order
    learned_ms: int
    state: State = State.RUNNING
    permissions: dict[str, tuple[float, int]] = dataclasses.field(default_factory=dict)
    """Share that each judge permits, by its address, and until when."""

    def permit(self, judge: str, share: float, now_ms: int) -> None:
        """Takes or renews the permission of a judge; with share 0 it holds back all others."""
        self.permissions[judge] = (share, now_ms + PERMISSION_MS)

    def permitted_share(self, now_ms: int) -> float:
        """Share of calls that may go to the new version now: the smallest that a judge permits."""
        valid = [share for share, until_ms in self.permissions.values() if now_ms < until_ms]
        return min(valid, default=0.0)


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

    def learn(self, notice: Notice, judge: str | None, now_ms: int) -> bool:
        """Takes what another node tells; returns whether order or state are new to this node.

        `judge` is the sender's address if it reads the store, None otherwise.
        """
        is_changed = self.learn_order(notice.order, now_ms)
        known = self.by_service[notice.order.service]
        if known.order != notice.order or known.state is not State.RUNNING:
            return is_changed
        if notice.state is not State.RUNNING:
            self.decide(notice.order, notice.state)
            return True
        if judge is not None and notice.share is not None:
            known.permit(judge, notice.share, now_ms)
        return is_changed

    def decide(self, order: Order, state: State) -> None:
        """Takes the verdict that the store holds for an order."""
        known = self.by_service.get(order.service)
        if known is not None and known.order == order and known.state is State.RUNNING:
            known.state = state
            known.permissions.clear()

    def notices(self, shares: dict[str, float]) -> tuple[Notice, ...]:
        """What this node tells others; `shares` by service is what it permits as a judge."""
        newest = sorted(
            self.by_service.values(), key=lambda known: known.order.number, reverse=True
        )
        return tuple(
            Notice(known.order, known.state, shares.get(known.order.service))
            for known in newest[:MAX_NOTICES]
        )
