import msgspec

from buckthornstage.bench import control_mesh
from buckthornstage.protocol import effects, messages


def start_mesh(zones, interval_ms=200, **overrides):
    mesh = control_mesh.Mesh(1, zones, gossip_interval_ms=interval_ms, services=2, **overrides)
    mesh.log.append(mesh.publisher.teams())
    mesh.log.append(mesh.publisher.backends(0))
    for node in mesh.settings:
        mesh.start(node)
    assert mesh.run_until(lambda: all_at(mesh, 2), 5_000) is not None
    assert mesh.run_until(lambda: all_know(mesh), 5_000) is not None
    return mesh


def all_at(mesh, version):
    running = [process for process in mesh.nodes.values() if not process.is_paused]
    return all(process.core.document.version == version for process in running)


def all_know(mesh):
    tables = (process.core.members for process in mesh.nodes.values())
    return all(len(table.records) == len(mesh.settings) for table in tables)


def ranked(mesh, node):
    return mesh.nodes[node].core.gossip.topology.by_rank


def statuses(mesh, node):
    return {p.core.members.get(node).status for n, p in mesh.nodes.items() if n != node}


def readers(mesh):
    running = ((n, p) for n, p in mesh.nodes.items() if not p.is_paused)
    return [node for node, p in running if p.core.should_read_log(mesh.now_ms)]


def envelope(mesh, node, message, **changes):
    settings = mesh.settings[node]
    incarnation = mesh.nodes[node].core.incarnation if node in mesh.nodes else 1
    default = messages.Envelope(
        node, incarnation, settings.zone, settings.control_address, 0, 0, message
    )
    return msgspec.structs.replace(default, **changes)


def sent(produced, kind):
    sends = (effect for effect in produced if isinstance(effect, effects.Send))
    return [send for send in sends if isinstance(send.message, kind)]
