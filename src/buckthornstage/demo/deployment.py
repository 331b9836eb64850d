"""Reads a deployment and writes the settings of its nodes for a run on the local machine."""

import base64
import dataclasses
import os
import pathlib
import random
import secrets
import socket
from typing import Annotated

import msgspec
import yaml
from cryptography.hazmat.primitives.asymmetric import ed25519

from buckthornstage import errors, strict_yaml
from buckthornstage.document import schema, signing, yaml_loader

HOST = "127.0.0.1"
# Below the ephemeral port range (32768 and up on Linux), so that no outgoing connection takes a
# port between this choice and the start of its process.
FIRST_PORT = 26_000
LAST_PORT = 32_000
SECRET_BYTES = 24
READ_ONLY = "read-only"
SEEDS_PER_ZONE = 2  # so that nodes can still join through the zone after the loss of one VM

Positive = Annotated[int, msgspec.Meta(ge=1)]
NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class ServicePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backend servers of a service; `artefacts` maps a path prefix to a size in bytes."""

    slots: Positive
    connections: Positive
    service_time_ms: NotNegative
    cold_start_ms: NotNegative = 0
    artefacts: dict[str, Positive] = {}


class Calls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths that callers use: a short read, a keyed (at-most-once) call and a large artefact."""

    read: str
    keyed: str
    artefact: str


class Topology(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of topology.yaml; `zones` maps zone -> service -> number of targets."""

    name: str
    region: str
    gossip_interval_ms: Positive
    services: dict[str, ServicePlan]
    zones: dict[str, dict[str, Positive]]
    calls: Calls


@dataclasses.dataclass(frozen=True)
class NodePlan:
    """One VM with its node and its backend server; addresses are "IP:port"."""

    node: str
    zone: str
    service: str
    call_address: str
    admin_address: str
    control_address: str
    backend_address: str
    settings_path: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment prepared for one run; `team_keys` maps team to private key.

    The caller of `prepare` closes `reservation` after the run.
    """

    topology: Topology
    directory: pathlib.Path
    run_directory: pathlib.Path
    log_address: str
    mesh_secret: str
    read_only_token: str
    team_tokens: dict[str, str]
    team_keys: dict[str, ed25519.Ed25519PrivateKey]
    nodes: tuple[NodePlan, ...]
    reservation: "Reservation"

    @property
    def log_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{self.log_address}"

    def node(self, name: str) -> NodePlan:
        """The VM of this name."""
        return next(plan for plan in self.nodes if plan.node == name)

    def owner(self, section: str) -> str:
        """Name of the team that publishes `section`."""
        if section == schema.SectionName.TEAMS:
            return schema.ROOT_TEAM
        teams = self._load("teams", schema.Teams).teams
        return next(name for name, team in teams.items() if section in team.sections)

    def section_text(self, section: str) -> str:
        """YAML of a section; `teams` includes the public keys that were generated for this run."""
        text = (self.directory / f"{section}.yaml").read_text(encoding="utf-8")
        if section != schema.SectionName.TEAMS:
            return text
        value = yaml.safe_load(text)
        for name, team in value["teams"].items():
            team["keys"] = [*team["keys"], signing.public_key_text(self.team_keys[name])]
        return yaml.safe_dump(value, sort_keys=False)

    def section_body(self, section: str) -> bytes:
        """Canonical JSON of a section."""
        return yaml_loader.load_section(self.section_text(section), section)

    def _load(self, section: str, into: type):
        text = (self.directory / f"{section}.yaml").read_text(encoding="utf-8")
        return strict_yaml.load(text, into)


def load_topology(directory: pathlib.Path) -> Topology:
    """Reads topology.yaml; raises SettingsError with the file and, where known, the line."""
    path = directory / "topology.yaml"
    try:
        topology = strict_yaml.load(path.read_text(encoding="utf-8"), Topology)
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error}") from error
    except strict_yaml.StrictYamlError as error:
        raise errors.SettingsError(f"{path}:{error.line or 1}: {error.problem}") from error
    for zone, targets in topology.zones.items():
        unknown = sorted(set(targets) - set(topology.services))
        if unknown:
            raise errors.SettingsError(
                f"{path}: zone {zone} names {', '.join(unknown)}; add it under services"
            )
    return topology


def prepare(
    directory: pathlib.Path, run_directory: pathlib.Path, overrides: dict[str, object] | None = None
) -> Deployment:
    """Generates keys, tokens and ports, and writes one settings file for each node.

    `overrides` replaces settings of all nodes, for example to shorten a timeout in a test.
    """
    topology = load_topology(directory)
    run_directory.mkdir(parents=True, exist_ok=True)
    names = [
        (f"{zone}-{service}-{number}", zone, service)
        for zone, targets in topology.zones.items()
        for service, count in targets.items()
        for number in range(1, count + 1)
    ]
    reservation = Reservation(1 + 4 * len(names))
    log_address, *addresses = reservation.addresses
    nodes = tuple(
        NodePlan(
            node,
            zone,
            service,
            *addresses[4 * index : 4 * index + 4],
            run_directory / f"{node}.yaml",
        )
        for index, (node, zone, service) in enumerate(names)
    )
    teams = strict_yaml.load((directory / "teams.yaml").read_text("utf-8"), schema.Teams).teams
    team_names = (schema.ROOT_TEAM, *teams)
    deployment = Deployment(
        topology=topology,
        directory=directory,
        run_directory=run_directory,
        log_address=log_address,
        mesh_secret=secrets.token_urlsafe(SECRET_BYTES),
        read_only_token=secrets.token_urlsafe(SECRET_BYTES),
        team_tokens={name: secrets.token_urlsafe(SECRET_BYTES) for name in team_names},
        team_keys={name: signing.generate_key() for name in team_names},
        nodes=nodes,
        reservation=reservation,
    )
    for plan in nodes:
        _write_settings(deployment, plan, overrides or {})
    return deployment


def _write_settings(deployment: Deployment, plan: NodePlan, overrides: dict[str, object]) -> None:
    root_key = deployment.team_keys[schema.ROOT_TEAM].public_key().public_bytes_raw()
    settings = {
        "node": plan.node,
        "zone": plan.zone,
        "region": deployment.topology.region,
        "call_address": plan.call_address,
        "admin_address": plan.admin_address,
        "control_address": plan.control_address,
        "log_url": deployment.log_url,
        "mesh_secret": deployment.mesh_secret,
        "root_public_key": base64.b64encode(root_key).decode("ascii"),
        "admin_tokens": {
            deployment.read_only_token: READ_ONLY,
            **{token: team for team, token in deployment.team_tokens.items()},
        },
        "seeds": list(_seeds(deployment.nodes)),
        "gossip_interval_ms": deployment.topology.gossip_interval_ms,
        **overrides,
    }
    # The file contains secrets, so only its owner may read it.
    descriptor = os.open(plan.settings_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(descriptor, "w", encoding="utf-8") as file:
        yaml.safe_dump(settings, file, sort_keys=False)


def _seeds(nodes: tuple[NodePlan, ...]):
    node_counts: dict[str, int] = {}
    for plan in nodes:
        node_counts[plan.zone] = node_counts.get(plan.zone, 0) + 1
        if node_counts[plan.zone] <= SEEDS_PER_ZONE:
            yield plan.control_address


class Reservation:
    """Loopback addresses that are kept from other runs until `close`.

    Each port stays bound to a socket that does not listen. Listeners that set SO_REUSEADDR, as all
    servers of this project do, can bind the port as well, also after a restart. Other runs bind
    without the option when they look for free ports, so their bind fails and they skip the port.
    """

    def __init__(self, count: int) -> None:
        self.sockets: list[socket.socket] = []
        ports = range(FIRST_PORT, LAST_PORT)
        for port in random.SystemRandom().sample(ports, len(ports)):
            if len(self.sockets) == count:
                break
            bound_socket = socket.socket()
            try:
                bound_socket.bind((HOST, port))
            except OSError:
                bound_socket.close()
                continue
            bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sockets.append(bound_socket)

    @property
    def addresses(self) -> list[str]:
        """Reserved addresses as "IP:port"."""
        return [f"{HOST}:{bound_socket.getsockname()[1]}" for bound_socket in self.sockets]

    def close(self) -> None:
        """Releases the addresses."""
        for bound_socket in self.sockets:
            bound_socket.close()
