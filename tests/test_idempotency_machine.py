import hypothesis
import trio
import trio.testing
from hypothesis import stateful
from hypothesis import strategies as st

import mesh_model

NODES = st.sampled_from(sorted(mesh_model.ZONES))
KEYS = st.integers(0, 3)  # even: UUIDv7; odd: issued by the node that gets the first request
GAPS = st.sampled_from([0, 0.001, 0.02, 0.06, 0.4, 2])


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Records a script of requests and faults; teardown runs it against the oracle."""

    def __init__(self):
        super().__init__()
        self.script = []

    def add_step(self, gap, step, *arguments):
        self.script.append((gap, step, arguments))

    @stateful.rule(gap=GAPS, node=NODES, key=KEYS, timeout_ms=st.sampled_from([100, 8_000]))
    def request(self, gap, node, key, timeout_ms):
        self.add_step(gap, mesh_model.Mesh.request, node, key, timeout_ms)

    @stateful.rule(gap=GAPS, node=NODES, key=KEYS)
    def race(self, gap, node, key):
        for other in (*sorted(mesh_model.ZONES), node):
            self.request(0, other, key, 8_000)
        self.add_step(gap, mesh_model.Mesh.disconnect)

    @stateful.rule(fault=st.sampled_from(["refused", "lost_done", "lost_never", "late"]))
    def log_fault(self, fault):
        self.add_step(0, lambda mesh: mesh.log.faults.append(fault))

    @stateful.rule(gap=GAPS, is_down=st.booleans())
    def log_outage(self, gap, is_down):
        self.add_step(gap, lambda mesh: setattr(mesh.log, "is_down", is_down))

    @stateful.rule(fault=st.sampled_from(["drop", "twice", 0.2, 4]))
    def message_fault(self, fault):
        self.add_step(0, lambda mesh: mesh.message_plan.append(fault))

    @stateful.rule(fault=st.sampled_from(["refused", "answer_lost"]))
    def forward_fault(self, fault):
        self.add_step(0, lambda mesh: mesh.forward_plan.append(fault))

    @stateful.rule(step=st.sampled_from(["shed", "dies", 0.5, 3, 30]))
    def target_step(self, step):
        self.add_step(0, lambda mesh: mesh.target_plan.append(step))

    @stateful.rule(gap=GAPS, node=NODES, is_killed=st.booleans())
    def replace(self, gap, node, is_killed):
        self.add_step(gap, mesh_model.Mesh.replace, node, is_killed)

    @stateful.rule(gap=GAPS, node=NODES, duration=st.sampled_from([0.3, 5, 15]))
    def pause(self, gap, node, duration):
        self.add_step(gap, mesh_model.Mesh.pause, node, duration)

    @stateful.rule(gap=GAPS)
    def disconnect(self, gap):
        self.add_step(gap, mesh_model.Mesh.disconnect)

    @stateful.rule(gap=GAPS)
    def swap_batchers(self, gap):
        self.add_step(gap, lambda mesh: setattr(mesh, "swapped", not mesh.swapped))

    @stateful.rule(duration=st.sampled_from([5, 12, 65, 4_000]))
    def wait_and_trim(self, duration):
        self.add_step(duration, lambda mesh: mesh.log.trim(mesh_model.RETENTION_S))

    def teardown(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        violations = trio.run(_run_script, self.script, clock=clock)
        assert violations == [], violations


async def _run_script(script):
    with trio.fail_after(1_000_000):
        async with trio.open_nursery() as nursery:
            mesh = mesh_model.Mesh(nursery)
            for name in sorted(mesh_model.ZONES):
                await mesh.replace(name, is_killed=False)
            for gap, step, arguments in script:
                await trio.sleep(gap)
                if (pending := step(mesh, *arguments)) is not None:
                    await pending
            await mesh.clear_faults_and_retry()
            nursery.cancel_scope.cancel()
            return mesh.oracle.violations


TestAtMostOnceMachine = AtMostOnceMachine.TestCase
TestAtMostOnceMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
