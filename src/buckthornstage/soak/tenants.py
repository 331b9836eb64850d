"""Tenants of the soak: whose key a caller sends, and the promises on keys and quotas.

The store confirms a version at `record.VersionAcknowledged`. Each version adds a key of its own
and withdraws that of the fourth version before it, so that the newest key which all nodes must
know stays valid for some seconds.
"""

import bisect
import collections
import random
from collections.abc import Callable, Iterator

from buckthornstage.soak import record

STEADY, LIMITED = "steady-account", record.LIMITED_TENANT
STEADY_KEY, LIMITED_KEY = "k-steady", "k-limited"
KEY_OF_VERSION = "k-version-{}"
VERSIONS_PER_KEY = 4
RATE_PER_S, BURST = 6.0, 6.0
QUOTA_WINDOW_MS, QUOTA_OVERSHOOT, QUOTA_SLACK = 5_000, 0.1, 20
WITHDRAWN_SHARE, VERSION_SHARE, LIMITED_SHARE = 0.03, 0.1, 0.12
"""Shares of the calls with a key that was withdrawn, with the newest key that all nodes must know,
and with that of the limited tenant; the others have the key that stays."""
UNAUTHORIZED_STATUS = 401
MS_PER_SECOND = 1_000


def of_version(version: int) -> list[dict]:
    """Tenants of a version in the operator's format."""
    keys = [KEY_OF_VERSION.format(version - age) for age in range(VERSIONS_PER_KEY)]
    return [
        {"name": STEADY, "api_keys": [STEADY_KEY, *keys], "priority": 1},
        {
            "name": LIMITED,
            "api_keys": [LIMITED_KEY],
            "priority": 1,
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        },
    ]


def choose_key(rng: random.Random, applied: int) -> record.Key:
    """Key of a new call; `applied` is the newest version that all nodes in touch must have."""
    drawn = rng.random()
    if drawn < WITHDRAWN_SHARE and applied > VERSIONS_PER_KEY:
        return record.Key(KEY_OF_VERSION.format(applied - VERSIONS_PER_KEY), STEADY, True)
    drawn -= WITHDRAWN_SHARE
    if drawn < VERSION_SHARE and applied:
        return record.Key(KEY_OF_VERSION.format(applied), STEADY, version=applied)
    drawn -= VERSION_SHARE
    if drawn < LIMITED_SHARE:
        return record.Key(LIMITED_KEY, LIMITED)
    return record.Key(STEADY_KEY, STEADY)


InTouch = Callable[[record.Record, record.Sent, int], bool]


def withdrawn_keys_run_nothing(found: record.Record, in_touch: InTouch) -> Iterator[str]:
    """No node in touch lets a call run whose key was withdrawn before the apply time."""
    sent_at = {sent.call_id: sent for sent in found.sent if sent.key.is_withdrawn}
    for ran in found.ran:
        sent = sent_at.get(ran.call_id)
        if sent is not None and in_touch(found, sent, ran.at_ms):
            yield f"{ran.call_id} ran at {ran.at_ms} with {sent.key.key} at n{sent.node}"


def valid_keys_are_accepted(found: record.Record, in_touch: InTouch) -> Iterator[str]:
    """No node refuses a key of all versions, and none in touch a key that it must know.

    A key of a version may be withdrawn again while its call is on its way.
    """
    sent_at = {sent.call_id: sent for sent in found.sent if not sent.key.is_withdrawn}
    acknowledged = {each.version: each.at_ms for each in reversed(found.versions)}
    for answer in found.answered:
        sent = sent_at.get(answer.call_id)
        if sent is None or answer.status != UNAUTHORIZED_STATUS:
            continue
        withdrawn_ms = acknowledged.get(sent.key.version + VERSIONS_PER_KEY, found.duration_ms)
        is_due = withdrawn_ms > answer.at_ms and in_touch(found, sent, answer.at_ms)
        if not sent.key.version or is_due:
            yield f"{answer.call_id} at {sent.at_ms}: n{sent.node} refused {sent.key.key}"


def targets_learn_the_tenant(found: record.Record) -> Iterator[str]:
    """Each run names the tenant that holds the caller's key, and no target sees a key."""
    sent_at = {sent.call_id: sent for sent in found.sent}
    for ran in found.ran:
        sent = sent_at.get(ran.call_id)
        if sent is not None and sent.key.tenant and (ran.has_key or ran.tenant != sent.key.tenant):
            yield f"{ran.call_id}: tenant {ran.tenant!r}, key shown: {ran.has_key}"


def quotas_are_kept(found: record.Record) -> Iterator[str]:
    """In each window the limited tenant gets no more runs than its quota allows, over all nodes,
    in touch or not."""
    times = sorted(map(min, _run_times(found, LIMITED).values()))
    seconds = QUOTA_WINDOW_MS / MS_PER_SECOND
    allowed = (RATE_PER_S * seconds + BURST) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    for index, first_ms in enumerate(times):
        count = bisect.bisect_left(times, first_ms + QUOTA_WINDOW_MS) - index
        if count > allowed:
            yield f"{count} runs of {LIMITED} in the 5 s from {first_ms}, {allowed:.0f} allowed"
            break


def _run_times(found: record.Record, tenant: str) -> dict[str, list[int]]:
    """When each call of a tenant ran, by call."""
    calls = {sent.call_id for sent in found.sent if sent.key.tenant == tenant}
    times: dict[str, list[int]] = collections.defaultdict(list)
    for ran in found.ran:
        if ran.call_id in calls:
            times[ran.call_id].append(ran.at_ms)
    return times
