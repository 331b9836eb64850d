from buckthornstage.bench import control_mesh
from buckthornstage.history import queries


def test_history_names_author_and_verdict_of_each_publish():
    """Guards against publish events that the queries cannot read: author and reason were lost."""
    mesh = control_mesh.Mesh(1, {"zone-a": 2}, gossip_interval_ms=200, services=2)
    mesh.log.append(mesh.publisher.teams())
    mesh.log.append(mesh.publisher.backends(0))
    mesh.log.append(mesh.publisher.backends(0))
    for node in mesh.settings:
        mesh.start(node)
    cores = [process.core for process in mesh.nodes.values()]
    assert mesh.run_until(lambda: all(core.fold.state.last_offset == 3 for core in cores), 5_000)
    found = [event for core in cores for event in core.history.buffer.recent()]
    publications = queries.publishes(found)
    assert [entry.accepted for entry in publications] == [True, True, False]
    assert all(entry.author and entry.team for entry in publications)
    assert publications[-1].reason
