"""Semantic validation of single sections, and of references between sections."""

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping

from buckthornstage import errors, strict_yaml
from buckthornstage.document import schema, signing

Problem = tuple[strict_yaml.Path, str]
Sections = Mapping[schema.SectionName, schema.Section]

# The whole state must fit into one message between nodes (1 MiB), with room for other fields.
MAX_DOCUMENT_BYTES = 960 * 1024


def section_problems(value: schema.Section) -> Iterator[Problem]:
    """Yields path and text of each problem in one section."""
    match value:
        case schema.Teams():
            yield from _team_problems(value)
        case schema.Routing():
            yield from _route_problems(value)
        case schema.Backends() | schema.Limits():
            yield from _repeated_names("services", value.services)


def document_problems(sections: Sections) -> Iterator[str]:
    """Yields the text of each inconsistency between sections."""
    backends = sections.get(schema.SectionName.BACKENDS, schema.Backends(()))
    declared = {service.name for service in backends.services}
    routing = sections.get(schema.SectionName.ROUTING, schema.Routing(()))
    for route in routing.routes:
        if route.service not in declared:
            yield f"route {route.name} names service {route.service}, not declared in backends"
    limits = sections.get(schema.SectionName.LIMITS, schema.Limits(()))
    for service in limits.services:
        if service.name not in declared:
            yield f"limits name service {service.name}, not declared in backends"


def _repeated_names(field: str, items: Iterable) -> Iterator[Problem]:
    seen = collections.Counter()
    for index, item in enumerate(items):
        seen[item.name] += 1
        if seen[item.name] > 1:
            yield (field, index, "name"), f"the name {item.name} occurs twice; names are unique"


def _team_problems(value: schema.Teams) -> Iterator[Problem]:
    for name, team in value.teams.items():
        path = ("teams", name)
        if name == schema.ROOT_TEAM:
            yield path, "the team root is defined by the nodes' settings; remove it here"
        for index, section in enumerate(team.sections):
            if section == schema.SectionName.TEAMS:
                yield (*path, "sections", index), "section teams belongs to the team root alone"
        for index, key in enumerate(team.keys):
            try:
                signing.parse_public_key(key)
            except errors.DocumentError as error:
                yield (*path, "keys", index), str(error)


def _route_problems(value: schema.Routing) -> Iterator[Problem]:
    yield from _repeated_names("routes", value.routes)
    by_prefix: dict[str, dict[str, str]] = {}
    for index, route in enumerate(value.routes):
        if route.idempotent and route.at_most_once:
            yield (
                ("routes", index, "at_most_once"),
                f"route {route.name} is idempotent and at_most_once; keep one of the two",
            )
        # A route without methods conflicts only with another such route of the same prefix; a route
        # that names the method takes precedence over it.
        taken = by_prefix.setdefault(route.prefix, {})
        for method in dict.fromkeys(route.methods or ("",)):
            other = taken.setdefault(method, route.name)
            if other != route.name:
                what = f"{method} {route.prefix}".strip()
                yield (
                    ("routes", index, "prefix"),
                    f"routes {other} and {route.name} both match {what}",
                )


def first_problems(problems: Iterable[str], limit: int = 3) -> str:
    """Joins the first `limit` texts, so that the message stays short."""
    return "; ".join(itertools.islice(problems, limit))
