"""Lifetimes of the backend server on this VM, tracked from its announcements.

A lifetime is one run of the target's process, from start to exit. A target may restart under the
same id, and an announcement may arrive after its sender has terminated. Lifetimes are therefore
ordered by start time, and the announcements of one lifetime by sequence number.
"""

import bisect
import collections
import dataclasses
import enum
from collections.abc import Iterable

MAX_ENDED = 8
"""Number of ended lifetimes to remember: announcements may be delayed by seconds, and a VM rarely
has more than two targets in that time."""

Identity = tuple[str, int]
"""Instance and start time (Unix ms) of a lifetime."""


class Status(enum.StrEnum):
    """Whether a lifetime accepts calls."""

    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
    """Crashed or silent, until a later announcement shows that it is alive."""


class AnnouncementResult(enum.StrEnum):
    """Effect of an announcement."""

    STARTED = "started"
    RENEWED = "renewed"
    DRAINING = "draining"
    STALE = "stale"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Announcement of a target about itself; times in ms."""

    instance: str
    started_at_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_left_ms: int
    version: str = ""
    """Version of the target's software."""

    @property
    def identity(self) -> Identity:
        """Lifetime that sent the announcement."""
        return self.instance, self.started_at_ms


@dataclasses.dataclass(frozen=True)
class Lifetime:
    """One run of the target; `heard_ms` and `cold_until_ms` are monotonic."""

    instance: str
    started_at_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    status: Status
    cold_until_ms: int
    heard_ms: int
    version: str = ""
    """Version of the target's software."""

    @property
    def identity(self) -> Identity:
        """Identifies the lifetime, even among those with the same instance id."""
        return self.instance, self.started_at_ms


class Lifetimes:
    """Tracks the newest lifetime of this VM's only target; None before the first announcement."""

    def __init__(self) -> None:
        self.current: Lifetime | None = None
        self.ended: collections.deque[Identity] = collections.deque(maxlen=MAX_ENDED)
        """Lifetimes that are draining or have deregistered, most recent last."""
        self.deregistered_instances: collections.deque[str] = collections.deque(maxlen=MAX_ENDED)
        """Unknown instances that deregistered without giving their start time."""

    def announce(self, announcement: Announcement, now_ms: int) -> AnnouncementResult:
        """Processes an announcement; late ones and those of older lifetimes are ignored."""
        current = self.current
        is_same = current is not None and current.identity == announcement.identity
        # After a clock was set back, a new lifetime seems older. It is accepted once the current
        # one is down; a wrong guess is harmless, as each call names the expected instance.
        is_older = (
            current is not None
            and not is_same
            and announcement.started_at_ms < current.started_at_ms
        )
        is_late = is_same and announcement.sequence <= current.sequence
        if is_late or (is_older and current.status is not Status.DOWN):
            if announcement.is_draining:
                self.end(announcement.identity)
            return AnnouncementResult.STALE
        # The start time of the deregistered lifetime was unknown. A new lifetime starts at sequence
        # 1, so an announcement with a higher one is a late one of the deregistered lifetime.
        if announcement.instance in self.deregistered_instances and announcement.sequence > 1:
            self.deregistered_instances.remove(announcement.instance)
            self._remember_end(announcement.identity)
        # Once a lifetime has announced that it is draining, it never accepts calls again.
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
            announcement.version,
        )
        if is_draining and not was_draining:
            return AnnouncementResult.DRAINING
        return AnnouncementResult.RENEWED if is_same else AnnouncementResult.STARTED

    def deregister(self, instance: str, started_at_ms: int | None) -> bool:
        """Deregisters a target; returns whether it is the current lifetime."""
        current = self.current
        is_current = current is not None and current.instance == instance
        is_current = is_current and started_at_ms in (None, current.started_at_ms)
        if is_current:
            started_at_ms = current.started_at_ms
        if started_at_ms is not None:
            self.end((instance, started_at_ms))
        elif instance not in self.deregistered_instances:
            self.deregistered_instances.append(instance)
        return is_current

    def end(self, identity: Identity) -> bool:
        """Marks a lifetime as draining, as it announced to this process or to its predecessor.

        Returns whether the status changed to DRAINING.
        """
        current = self.current
        if current is None or current.identity != identity:
            self._remember_other_end(identity)
            return False
        self._remember_end(identity)
        is_change = current.status is not Status.DRAINING
        self.current = dataclasses.replace(current, status=Status.DRAINING)
        return is_change

    def restore(self, ended: Iterable[Identity], instances: Iterable[str]) -> bool:
        """Takes the leaves that an earlier process on this VM has acknowledged.

        Returns whether the current lifetime is one of them and its status changed to DRAINING.
        """
        is_change = False
        for identity in ended:
            is_change |= self.end(identity)
        current = self.current
        for instance in instances:
            if instance not in self.deregistered_instances:
                self.deregistered_instances.append(instance)
            if current is not None and current.instance == instance and current.sequence > 1:
                is_change |= self.end(current.identity)
        return is_change

    def mark_down(self, instance: str, started_at_ms: int) -> bool:
        """Marks a target that refused a connection or went silent; returns whether that is new.

        One that was draining stays in `ended`, so that a late announcement does not make it ready.
        """
        current = self.current
        if current is None or current.identity != (instance, started_at_ms):
            return False
        if current.status is Status.DOWN:
            return False
        self.current = dataclasses.replace(current, status=Status.DOWN)
        return True

    def _remember_end(self, identity: Identity) -> None:
        if identity not in self.ended:
            self.ended.append(identity)

    def _remember_other_end(self, identity: Identity) -> None:
        """Inserts the end of a lifetime that is not current by its start time: who tells it may
        have been cut off and know only of older ones."""
        if identity in self.ended:
            return
        index = bisect.bisect([started_at_ms for _, started_at_ms in self.ended], identity[1])
        if len(self.ended) == MAX_ENDED:
            if index == 0:
                return
            self.ended.popleft()
            index -= 1
        self.ended.insert(index, identity)
