"""A node's leases: tokens of tenants that its lenders have granted; times are ms.

A lease is counted from when it was asked for, so that a grant that waited during a pause of this
node is worth nothing. Times include suspensions of the machine.
"""

import collections
import dataclasses
import enum
import math
import random

from buckthornstage.link import quota_frames

LEASE_MS = 400
"""Tokens outstanding in leases add to the bound; a lender mints for 0.4 s meanwhile, which together
with the part of the overshoot in the buckets (`division.OVERSHOOT_SHARE`) stays below it."""
BATCH_MS = 250
"""A lease covers the requests expected within this time."""
LOW_SHARE = 0.4
"""A lease with less than this part of a batch is extended ahead."""
IDLE_MS = 150
"""A lease that was not used for this time is given back."""
RATE_MS = 500
"""Time constant of the measured rate of requests."""
REPEAT_MS = 20
MAX_REPEAT_MS = 60
REPEAT_FACTOR = 3
"""An ask without an answer is repeated after this multiple of the usual time to an answer, within
both limits; a round trip in the zone takes 1 ms, and more where nodes are busy."""
ASKS_PER_LENDER = 2
MAX_ASKS = 6
"""After so many asks without an answer the node uses its own part."""
OWN_PART_MS = 250
"""Time for which a node uses its own part before it asks again."""
OWN_RESET_MS = 10_000
"""After so long without a use of its own part a node begins it anew."""
MAX_RETRY_MS = 1_000
MIN_RETRY_MS = 20
MAX_TOKENS = 1_000_000


class Verdict(enum.Enum):
    """What happens to a request of a tenant."""

    TAKEN = 0
    REFUSED = 1
    ASK = 2


@dataclasses.dataclass(eq=False, slots=True)
class Lease:
    """Tokens of one tenant at this node, and the ask in progress."""

    tenant: int
    tokens: int = 0
    expires_ms: int = 0
    returned: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    """Ends of the tokens of calls that have not run; they are used first."""
    taken_end_ms: int = 0
    """End of the token that was taken last; 0 for one of the node's own part."""
    used_ms: int = 0
    arrived: int = 0
    """Requests since the last ask."""
    rate: float = 0.0
    """Requests a second, measured."""
    rate_ms: int = 0
    denied_until_ms: int = 0
    room_ms: float = 0.0
    """When the quota has room for one more request than those that were refused."""
    interval_ms: float = 0.0
    """Expected time between two tokens for this node's requests."""
    waiting: int = 0
    unleased: int = 0
    sequence: int = 0
    """Of the ask in progress; 0 for none."""
    ask: quota_frames.Ask | None = None
    asked_ms: int = 0
    first_asked_ms: int = 0
    asks: int = 0
    """Asks without an answer."""
    lender: str = ""
    """Address that was asked last."""
    own_until_ms: int = 0
    own_ms: int = -OWN_RESET_MS
    own_tokens: float = 0.0
    used: int = 0
    refused: int = 0


def arrive(lease: Lease, now_ms: int) -> None:
    """Counts a new request."""
    lease.arrived += 1
    elapsed_ms = max(0, now_ms - lease.rate_ms)
    lease.rate = lease.rate * math.exp(-elapsed_ms / RATE_MS) + 1_000 / RATE_MS
    lease.rate_ms = now_ms


def take(lease: Lease, now_ms: int, own_per_second: float) -> Verdict:
    """Takes a token for a request that has arrived; `own_per_second` is the node's own part."""
    while lease.returned:
        lease.taken_end_ms = lease.returned.popleft()
        if now_ms < lease.taken_end_ms:
            lease.used += 1
            return Verdict.TAKEN
    if lease.tokens and now_ms < lease.expires_ms:
        lease.tokens -= 1
        lease.taken_end_ms = lease.expires_ms
        lease.used_ms = now_ms
        lease.used += 1
        return Verdict.TAKEN
    lease.tokens = 0
    if now_ms < lease.own_until_ms:
        return _take_own(lease, now_ms, own_per_second)
    if now_ms < lease.denied_until_ms:
        lease.refused += 1
        return Verdict.REFUSED
    return Verdict.ASK


def _take_own(lease: Lease, now_ms: int, own_per_second: float) -> Verdict:
    elapsed_ms = max(0, now_ms - lease.own_ms)
    lease.own_ms = now_ms
    lease.own_tokens = min(1 + own_per_second, lease.own_tokens + elapsed_ms * own_per_second / 1e3)
    if lease.own_tokens < 1:
        lease.interval_ms = 1_000 / max(own_per_second, 1e-3)
        lease.refused += 1
        return Verdict.REFUSED
    lease.own_tokens -= 1
    lease.taken_end_ms = 0
    lease.unleased += 1
    lease.used += 1
    return Verdict.TAKEN


def give_back(lease: Lease, end_ms: int, now_ms: int) -> bool:
    """Returns the token of a request that has certainly not run, unless its lease is over.

    It keeps the end of its lease: with a new one, tokens of calls that are refused again and again
    would be used in a later window and exceed the quota there. Returns whether it is usable.
    """
    if now_ms >= end_ms:
        return False
    lease.returned.append(end_ms)
    lease.used -= 1
    return True


def retry_ms(lease: Lease, now_ms: int) -> int:
    """Time until the quota has room for a request that is refused now, behind earlier ones."""
    base_ms = max(lease.room_ms, lease.denied_until_ms, now_ms)
    lease.room_ms = min(now_ms + MAX_RETRY_MS, base_ms + lease.interval_ms)
    return max(MIN_RETRY_MS, min(MAX_RETRY_MS, math.ceil(base_ms - now_ms)))


def is_low(lease: Lease) -> bool:
    """Whether a lease that is in use should be extended before it is used up."""
    batch = int(lease.rate * BATCH_MS / 1_000)
    return lease.tokens < batch * LOW_SHARE and not lease.sequence


def due_ms(lease: Lease, now_ms: int, repeat_ms: int) -> int:
    """Time until the ask in progress has to be repeated, which is after `repeat_ms`; 0 if one is
    due."""
    return max(0, lease.asked_ms + repeat_ms - now_ms) if lease.sequence else 0


def repeat_ms(answer_ms: float) -> int:
    """Time after which an ask is repeated, from the usual time to an answer."""
    return int(max(REPEAT_MS, min(MAX_REPEAT_MS, REPEAT_FACTOR * answer_ms)))


def is_unanswered(lease: Lease, now_ms: int) -> bool:
    """Whether a lender has not answered asks; one that was not repeated proves nothing."""
    is_recent = lease.sequence > 0 and now_ms - lease.first_asked_ms <= LEASE_MS
    return is_recent and lease.asks % ASKS_PER_LENDER == 0


def next_ask(
    lease: Lease, now_ms: int, sequence: int, sender: str, is_new_lender: bool
) -> quota_frames.Ask | None:
    """The ask to send now; None if the node has to use its own part.

    `sequence` is a number that the node has not used; `is_new_lender` says that the lender is
    another one than that of the last ask.
    """
    if lease.sequence and now_ms - lease.first_asked_ms > LEASE_MS:
        lease.sequence, lease.asks = 0, 0
    if lease.asks >= MAX_ASKS:
        use_own_part(lease, now_ms)
        return None
    if not lease.sequence or is_new_lender:
        unused = lease.unleased + (lease.ask.unleased if lease.sequence and lease.ask else 0)
        tokens = lease.tokens if now_ms < lease.expires_ms else 0
        ahead = max(0, int(lease.rate * BATCH_MS / 1_000) - tokens)
        lease.ask = quota_frames.Ask(
            sender,
            sequence,
            lease.tenant,
            min(lease.waiting, MAX_TOKENS),
            min(ahead, MAX_TOKENS),
            min(lease.arrived, MAX_TOKENS),
            0,
            min(unused, MAX_TOKENS),
        )
        lease.sequence, lease.first_asked_ms = sequence, now_ms
        lease.arrived = lease.unleased = 0
    lease.asked_ms = now_ms
    lease.asks += 1
    return lease.ask


def use_own_part(lease: Lease, now_ms: int) -> None:
    """Makes a node use its own part for a while.

    It begins at a random fraction of a token, so that all nodes together get their rate at
    once, also where a node's own part is a token in many seconds."""
    if now_ms >= lease.own_ms + OWN_RESET_MS:
        lease.own_tokens = random.random()
        lease.own_ms = now_ms
    lease.own_until_ms = now_ms + OWN_PART_MS
    if lease.ask is not None and lease.sequence:
        lease.unleased += lease.ask.unleased
    lease.sequence, lease.asks, lease.ask = 0, 0, None


def receive(lease: Lease, grant: quota_frames.Grant, now_ms: int) -> bool:
    """Takes a grant; returns whether it answers the ask in progress."""
    if not lease.sequence or grant.sequence != lease.sequence:
        return False
    expires_ms = lease.first_asked_ms + LEASE_MS
    lease.sequence, lease.asks, lease.ask = 0, 0, None
    if now_ms >= expires_ms:
        return True
    if now_ms >= lease.expires_ms:
        lease.tokens = 0
    if grant.tokens:
        lease.tokens += grant.tokens
        lease.expires_ms = expires_ms
        lease.used_ms = now_ms
    if grant.wait_ms:
        lease.denied_until_ms = now_ms + grant.wait_ms
        lease.interval_ms = grant.demand_per_token * 1_000 / max(lease.rate, 1_000 / RATE_MS)
        lease.room_ms = max(lease.room_ms, lease.denied_until_ms)
    return True


def unused(lease: Lease, now_ms: int) -> int:
    """Takes and returns the tokens of a lease that is not in use, to be given back."""
    if not lease.tokens or lease.sequence or now_ms - lease.used_ms < IDLE_MS:
        return 0
    tokens = lease.tokens if now_ms < lease.expires_ms else 0
    lease.tokens = 0
    return tokens
