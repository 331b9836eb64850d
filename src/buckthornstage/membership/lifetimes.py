"""Lifetimes of the backend server on this VM, from its announcements.

A target may start again under the id that it had, and an announcement may arrive after its sender
has died. Lifetimes are therefore ordered by the time of their start, announcements of one lifetime
by their sequence number.
"""

import collections
import dataclasses
import enum

MAX_ENDED = 8
"""Lifetimes that are remembered as ended; an announcement may be some seconds late, and a VM seldom
has more than two targets in that time."""

Identity = tuple[str, int]
"""Instance and start (Unix ms) of a lifetime."""


class Status(enum.StrEnum):
    """What a lifetime may be used for."""

    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
    """Crashed or silent; only a later announcement proves that it lives."""


class AnnouncementResult(enum.StrEnum):
    """What an announcement changed."""

    STARTED = "started"
    RENEWED = "renewed"
    DRAINING = "draining"
    STALE = "stale"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a target says of itself; times in ms."""

    instance: str
    started_at_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_left_ms: int

    @property
    def identity(self) -> Identity:
        """Lifetime that speaks."""
        return self.instance, self.started_at_ms


@dataclasses.dataclass(frozen=True)
class Lifetime:
    """One start of the target; `heard_ms` and `cold_until_ms` are monotonic."""

    instance: str
    started_at_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    status: Status
    cold_until_ms: int
    heard_ms: int

    @property
    def identity(self) -> Identity:
        """What tells this lifetime from others, also from one under the same id."""
        return self.instance, self.started_at_ms


class Lifetimes:
    """Newest lifetime of the one target of this VM, or None before the first announcement."""

    def __init__(self) -> None:
        self.current: Lifetime | None = None
        self.ended: collections.deque[Identity] = collections.deque(maxlen=MAX_ENDED)
        """Lifetimes that have said that they leave, the last one at the end."""
        self.deregistered_instances: collections.deque[str] = collections.deque(maxlen=MAX_ENDED)
        """Instances that left before this process had heard of them, without naming a start."""

    def announce(self, announcement: Announcement, now_ms: int) -> AnnouncementResult:
        """Takes an announcement; one of an older lifetime, or a late one, changes nothing."""
        known = self.current
        is_same = known is not None and known.identity == announcement.identity
        # A clock that was set back makes a new lifetime seem older; once the known one is gone, the
        # expected instance that goes with each call keeps a wrong guess harmless.
        is_older = (
            known is not None and not is_same and announcement.started_at_ms < known.started_at_ms
        )
        if is_older and known.status is not Status.DOWN:
            return AnnouncementResult.STALE
        if is_same and announcement.sequence <= known.sequence:
            return AnnouncementResult.STALE
        # Sequences start at 1 in a new lifetime, so a later one belongs to the one that left.
        if announcement.instance in self.deregistered_instances and announcement.sequence > 1:
            self.deregistered_instances.remove(announcement.instance)
            self._remember_end(announcement.identity)
        # A lifetime never takes work again after it has said that it leaves.
        was_draining = announcement.identity in self.ended
        is_draining = announcement.is_draining or was_draining
        if is_draining:
            self._remember_end(announcement.identity)
        self.current = Lifetime(
            announcement.instance,
            announcement.started_at_ms,
            announcement.sequence,
            announcement.service,
            announcement.address,
            announcement.slots,
            Status.DRAINING if is_draining else Status.READY,
            now_ms + announcement.cold_left_ms,
            now_ms,
        )
        if is_draining and not was_draining:
            return AnnouncementResult.DRAINING
        return AnnouncementResult.RENEWED if is_same else AnnouncementResult.STARTED

    def deregister(self, instance: str, started_at_ms: int | None) -> bool:
        """The target leaves; returns whether that ends the lifetime in use."""
        known = self.current
        is_current = known is not None and known.instance == instance
        is_current = is_current and started_at_ms in (None, known.started_at_ms)
        if is_current:
            started_at_ms = known.started_at_ms
        if started_at_ms is not None:
            self.end((instance, started_at_ms))
        elif instance not in self.deregistered_instances:
            self.deregistered_instances.append(instance)
        return is_current

    def end(self, identity: Identity) -> bool:
        """A lifetime has said that it leaves, here or to the process that ran here before.

        Returns whether that closes the ingress.
        """
        self._remember_end(identity)
        known = self.current
        if known is None or known.identity != identity:
            return False
        is_change = known.status is not Status.DRAINING
        self.current = dataclasses.replace(known, status=Status.DRAINING)
        return is_change

    def mark_down(self, instance: str, started_at_ms: int) -> bool:
        """The target refused a connection or went silent; returns whether that is news."""
        known = self.current
        if known is None or known.identity != (instance, started_at_ms):
            return False
        if known.status is not Status.READY:
            return False
        self.current = dataclasses.replace(known, status=Status.DOWN)
        return True

    def _remember_end(self, identity: Identity) -> None:
        if identity not in self.ended:
            self.ended.append(identity)
