"""Publishes sections as their teams, and measures the time until a version is in force."""

import dataclasses

import msgspec
import trio

from buckthornstage import clock
from buckthornstage.demo import mesh as meshes
from buckthornstage.demo import processes
from buckthornstage.document import publishing, schema

MAX_CONVERGENCE_MS = 6_000  # I9: from acceptance until in force on all nodes
CONVERGENCE_TIMEOUT_MS = 30_000  # above the requirement, to measure and report late versions
POLL_INTERVAL_MS = 10


@dataclasses.dataclass(frozen=True)
class Convergence:
    """One publish; `times_ms` maps node to the time until the version was in force there."""

    version: int
    times_ms: dict[str, float]

    @property
    def slowest_ms(self) -> float:
        """Time until the version was in force on every node."""
        return max(self.times_ms.values())


class Editor:
    """Edits the document of a run; `base_offsets` maps section to offset of its last publish."""

    def __init__(self, mesh: meshes.Mesh) -> None:
        self.mesh = mesh
        self.base_offsets: dict[str, int] = {}

    async def reload_base_offsets(self) -> None:
        """Takes the base offsets from the newest document in force on a running node.

        Needed after an append with an unknown outcome.
        """
        documents = [await self.mesh.admin(node, "/document") for node in self.mesh.running_nodes]
        newest = max(filter(None, documents), key=lambda document: document["version"])
        self.base_offsets = {
            name: section["offset"] for name, section in newest["sections"].items()
        }

    async def append(self, section: str, body: bytes) -> int:
        """Signs and appends one publish as the team that owns the section; returns its offset."""
        team = self.mesh.plan.owner(section)
        record = publishing.build(
            schema.SectionName(section),
            body,
            base=self.base_offsets.get(section, 0),
            team=team,
            author=f"operator of {team}",
            published_at_ms=clock.Clock().wall_ms(),
            key=self.mesh.plan.team_keys[team],
        )
        offset = await publishing.publish(self.mesh.log, record, pause)
        self.base_offsets[section] = offset
        return offset

    async def publish(self, section: str, body: bytes | None = None) -> Convergence:
        """Appends a section (default: that of the deployment) and waits until it is in force.

        Times are measured from the log's confirmation of the append.
        """
        offset = await self.append(section, body or self.mesh.plan.section_body(section))
        confirmed_s = trio.current_time()
        times_ms: dict[str, float] = {}

        async def all_in_force() -> bool:
            versions = await self.mesh.versions()
            elapsed_ms = (trio.current_time() - confirmed_s) * 1000
            for node, version in versions.items():
                if version >= offset:
                    times_ms.setdefault(node, elapsed_ms)
            return set(times_ms) >= set(versions)

        what = f"version {offset} to be in force on every node"
        await processes.wait_until(all_in_force, CONVERGENCE_TIMEOUT_MS, what, POLL_INTERVAL_MS)
        return Convergence(offset, times_ms)


async def pause(duration_ms: int) -> None:
    """Sleeps between the attempts of a publish."""
    await trio.sleep(duration_ms / 1000)


def with_queue_length(body: bytes, queue_length: int) -> bytes:
    """The limits section with another queue length for all services."""
    limits = schema.decode_section(schema.SectionName.LIMITS, body)
    services = tuple(
        msgspec.structs.replace(service, queue_length=queue_length) for service in limits.services
    )
    return schema.encode_section(schema.Limits(services))
