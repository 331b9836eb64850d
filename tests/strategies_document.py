"""Strategies for valid and hostile publishes, and an oracle that does not use `acceptance`.

An `Edit` describes a publish. `payload` encodes it as a log record; `Oracle` predicts the verdict
from the description alone, with plain dictionaries.
"""

import dataclasses
import json

import msgspec
from cryptography.hazmat.primitives.asymmetric import ed25519
from hypothesis import strategies

from buckthornstage.document import schema, signing

KEYS = {
    name: ed25519.Ed25519PrivateKey.from_private_bytes(bytes([number]) * 32)
    for number, name in enumerate(("root", "web", "web2", "shop", "evil"), 1)
}
PUBLIC = {name: signing.public_key_text(key) for name, key in KEYS.items()}
ROOT_KEY = PUBLIC["root"]
SECRET = b"0123456789abcdef0123456789abcdef"
SERVICES = ("a", "b", "c")
SECTIONS = ("teams", "routing", "backends", "limits")


@dataclasses.dataclass(frozen=True)
class Edit:
    """One edit. `base_shift` is added to the correct base, `repeats` picks an earlier id to reuse.

    `content` is the section as plain data, `is_valid` whether it is valid on its own.
    """

    signer: str
    team: str
    section: str
    content: dict
    is_valid: bool = True
    base_shift: int = 0
    repeats: int | None = None
    rules: int = 1
    format: int = 1
    is_canonical: bool = True


def _team(sections: list[str], *keys: str) -> dict:
    return {"sections": sections, "keys": [PUBLIC[key] for key in keys]}


GOOD_TEAMS = {
    "teams": {"shop": _team(["limits"], "shop"), "web": _team(["backends", "routing"], "web")}
}
TEAMS = (
    (GOOD_TEAMS, True),
    (GOOD_TEAMS, True),
    (
        {
            "teams": {
                "shop": _team(["limits", "routing"], "shop"),
                "web": _team(["backends", "routing"], "web", "web2"),
            }
        },
        True,
    ),
    ({"teams": {"shop": _team([], "shop"), "web": _team(["backends", "limits"], "web2")}}, True),
    ({"teams": {"root": _team(["limits"], "evil")}}, False),
    ({"teams": {"web": _team(["teams"], "web")}}, False),
    ({"teams": {"web": {"sections": [], "keys": ["bm90IGEga2V5"]}}}, False),
    ({"teams": {"Web!": _team([], "web")}}, False),
)


def route(name: str, service: str, **changes) -> dict:
    """A route as plain data with all fields, in schema order."""
    fields = {
        "name": name,
        "prefix": f"/{name}",
        "service": service,
        "methods": [],
        "priority": "standard",
        "idempotent": False,
        "at_most_once": False,
        "timeout_ms": 10_000,
    }
    return fields | changes


def backend(name: str, **changes) -> dict:
    """An entry of section backends as plain data."""
    return {"name": name, "slots": 20, "connections": 110, "slow_start_ms": 0} | changes


def limit(name: str, **changes) -> dict:
    """An entry of section limits as plain data."""
    fields = {
        "name": name,
        "queue_length": 64,
        "queue_ms": 1_000,
        "retry_ratio": 0.5,
        "max_attempts": 3,
        "crash_limit": 2,
    }
    return fields | changes


INVALID_ROUTES = (
    [route("a", "a"), route("a", "a", prefix="/other")],
    [route("a", "a", idempotent=True, at_most_once=True)],
    [route("a", "a"), route("b", "a", prefix="/a")],
    [route("a", "a", methods=["GET", "PUT"]), route("b", "a", prefix="/a", methods=["PUT"])],
    [route("a", "a", prefix="no-slash")],
    [route("a", "a", timeout_ms=0)],
    [route("a", "a", priority="urgent")],
    [route("a", "a", methods=["get"])],
    [route("a", "a", unknown=1)],
    [{"name": "a"}],
    "none",
)
INVALID_SERVICES = (
    {"backends": [backend("a"), backend("a")], "limits": [limit("a"), limit("a")]},
    {"backends": [backend("a", slots=0)], "limits": [limit("a", retry_ratio=1.5)]},
    {"backends": [backend("a", slots=True)], "limits": [limit("a", max_attempts=None)]},
    {"backends": {}, "limits": 7},
)


@strategies.composite
def contents(draw, section: str) -> tuple[dict, bool]:
    """Content of a section and whether it is valid on its own."""
    if section == "teams":
        return draw(strategies.sampled_from(TEAMS))
    is_valid = draw(strategies.integers(0, 4)) > 0
    names = draw(strategies.lists(strategies.sampled_from(SERVICES), unique=True, max_size=3))
    if section == "routing":
        if not is_valid:
            return {"routes": draw(strategies.sampled_from(INVALID_ROUTES))}, False
        timeout_ms = draw(strategies.integers(1, 9))
        return {"routes": [route(name, name, timeout_ms=timeout_ms) for name in names]}, True
    if not is_valid:
        return {"services": draw(strategies.sampled_from(INVALID_SERVICES))[section]}, False
    entry = backend if section == "backends" else limit
    # All three services half of the time, so that routes and limits often name declared ones.
    names = draw(strategies.sampled_from([names, list(SERVICES)]))
    return {"services": [entry(name) for name in names]}, True


FAULTS = {
    "signer": strategies.sampled_from(sorted(KEYS)),
    "team": strategies.sampled_from(["web", "shop", "root", "nobody"]),
    "base_shift": strategies.sampled_from([-1, 1, 5]),
    "repeats": strategies.integers(0, 20),
    "rules": strategies.just(0),
    "format": strategies.sampled_from([0, -1]),
    "is_canonical": strategies.just(False),
}


@strategies.composite
def edits(draw) -> Edit:
    """Half of the edits have no fault but possibly invalid content; the others have one or two."""
    section = draw(strategies.sampled_from(SECTIONS))
    owner = {"teams": "root", "limits": "shop"}.get(section, "web")
    content, is_valid = draw(contents(section))
    authorized = Edit(owner, owner, section, content, is_valid)
    if draw(strategies.booleans()):
        return authorized
    names = strategies.lists(strategies.sampled_from(sorted(FAULTS)), min_size=1, max_size=2)
    changes = {name: draw(FAULTS[name]) for name in draw(names)}
    if "team" in changes and draw(strategies.booleans()):
        # A valid signature of another team, which only the ownership check can refuse.
        changes["signer"] = {"nobody": "evil"}.get(changes["team"], changes["team"])
    return dataclasses.replace(authorized, **changes)


# The sections that an operator would publish first, so that later edits change existing content.
INITIAL_EDITS = (
    Edit("root", "root", "teams", GOOD_TEAMS),
    Edit("web", "web", "backends", {"services": [backend(name) for name in SERVICES]}),
    Edit("web", "web", "routing", {"routes": [route("a", "a")]}),
    Edit("shop", "shop", "limits", {"services": [limit("a")]}),
)


def scenarios(max_size: int = 25):
    """Lists of edits; many begin with a complete document."""
    tail = strategies.lists(edits(), max_size=max_size)
    return tail | tail.map(lambda rest: [*INITIAL_EDITS, *rest])


class Oracle:
    """Model of acceptance in log order; `sections` maps name -> (offset, content)."""

    def __init__(self) -> None:
        self.sections: dict[str, tuple[int, dict]] = {}
        self.ids: list[str] = []
        self.authenticated_ids: set[str] = set()
        self.version = 0

    def base_of(self, edit: Edit) -> int:
        """Base of the edit; at least 0, because a negative one makes the record malformed."""
        return max(0, self.sections.get(edit.section, (0, {}))[0] + edit.base_shift)

    def id_of(self, edit: Edit) -> str:
        """Publish id of the edit."""
        if edit.repeats is not None and self.ids:
            return self.ids[edit.repeats % len(self.ids)]
        return f"{len(self.ids):032d}"

    def apply(self, edit: Edit, offset: int) -> str | None:
        """Applies the edit to the model; returns the reason for a refusal, or None."""
        publish_id, base = self.id_of(edit), self.base_of(edit)
        self.ids.append(publish_id)
        teams = self._content("teams", "teams", {})
        trusted = [PUBLIC["root"]] if edit.team == "root" else self._team(edit, "keys")
        owned = ["teams"] if edit.team == "root" else self._team(edit, "sections")
        if edit.format < 1:
            return "unknown_format"
        if PUBLIC[edit.signer] not in trusted:
            return "bad_signature"
        is_repeated = publish_id in self.authenticated_ids
        self.authenticated_ids.add(publish_id)
        if is_repeated:
            return "duplicate_id"
        if edit.rules < 1:
            return "old_rules"
        if edit.section not in owned:
            return "not_owner"
        if base != self.sections.get(edit.section, (0, teams))[0]:
            return "conflict"
        if not (edit.is_valid and edit.is_canonical):
            return "invalid_section"
        after = self.sections | {edit.section: (offset, edit.content)}
        if not is_consistent({name: content for name, (_, content) in after.items()}):
            return "inconsistent"
        self.sections, self.version = after, offset
        return None

    def _content(self, section: str, field: str, default):
        return self.sections.get(section, (0, {}))[1].get(field, default)

    def _team(self, edit: Edit, field: str) -> list:
        return self._content("teams", "teams", {}).get(edit.team, {}).get(field, [])


def is_consistent(contents_by_section: dict[str, dict]) -> bool:
    """Whether every service named in routing or limits is declared in backends."""
    services = {
        name: [entry["name"] for entry in contents_by_section.get(name, {}).get("services", [])]
        for name in ("backends", "limits")
    }
    routes = contents_by_section.get("routing", {}).get("routes", [])
    named = {entry["service"] for entry in routes} | set(services["limits"])
    return named <= set(services["backends"])


def payload(edit: Edit, oracle: Oracle) -> bytes:
    """Log record of an edit; call it before `oracle.apply`, which updates bases and ids."""
    separators = (",", ":") if edit.is_canonical else (", ", ": ")
    publish = schema.Publish(
        format=edit.format,
        rules=edit.rules,
        publish_id=oracle.id_of(edit),
        section=schema.SectionName(edit.section),
        base=oracle.base_of(edit),
        team=edit.team,
        author="Ana Solís",
        published_at_ms=1,
        body=json.dumps(edit.content, separators=separators).encode(),
    )
    return schema.encode_record(signing.sign(publish, KEYS[edit.signer]))


def records(scenario: list[Edit]) -> tuple[list[bytes], list[str | None], Oracle]:
    """Payloads of a scenario, the reason expected for each, and the resulting oracle."""
    oracle = Oracle()
    payloads, reasons = [], []
    for offset, edit in enumerate(scenario, 1):
        payloads.append(payload(edit, oracle))
        reasons.append(oracle.apply(edit, offset))
    return payloads, reasons, oracle


def signed_again(record: bytes, signer: str, **changes) -> bytes:
    """The publish record with fields replaced or added and a new signature by `signer`."""
    fields = msgspec.msgpack.decode(record) | changes
    raw = {name: msgspec.Raw(msgspec.msgpack.encode(value)) for name, value in fields.items()}
    signature = KEYS[signer].sign(signing.signed_bytes(raw))
    return msgspec.msgpack.encode(fields | {"signature": signature})
