import hypothesis
import trio
import trio.testing
from hypothesis import stateful, strategies

from buckthornstage.idempotency import keys
from tests import mesh_model
from tests.test_keys import NOW, SECRET, uuid7

NODES = strategies.sampled_from(sorted(mesh_model.ZONES))
KEYS = strategies.integers(0, 3)  # even: UUIDv7, odd: issued by the node that is asked first
GAPS = strategies.sampled_from([0, 0.001, 0.02, 0.06, 0.4, 2])


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Collects a script of requests and faults; teardown plays it against the oracle."""

    def __init__(self):
        super().__init__()
        self.script = []

    @stateful.rule(node=NODES, key=KEYS, gap=GAPS, timeout_ms=strategies.sampled_from([100, 8_000]))
    def request(self, node, key, gap, timeout_ms):
        self.script.append(("request", gap, node, key, timeout_ms))

    @stateful.rule(node=NODES, key=KEYS, gap=GAPS)
    def race(self, node, key, gap):
        for other in sorted(mesh_model.ZONES):
            self.script.append(("request", 0, other, key, 8_000))
        self.script.append(("request", gap, node, key, 8_000))

    @stateful.rule(fate=strategies.sampled_from(["refused", "lost_done", "lost_never", "late"]))
    def log_fault(self, fate):
        self.script.append(("log_fault", 0, fate))

    @stateful.rule(is_down=strategies.booleans(), gap=GAPS)
    def log_outage(self, is_down, gap):
        self.script.append(("log_outage", gap, is_down))

    @stateful.rule(fate=strategies.sampled_from(["drop", "twice", 0.2, 4]))
    def message_fault(self, fate):
        self.script.append(("message_fault", 0, fate))

    @stateful.rule(fate=strategies.sampled_from(["refused", "answer_lost"]))
    def forward_fault(self, fate):
        self.script.append(("forward_fault", 0, fate))

    @stateful.rule(step=strategies.sampled_from(["shed", "dies", 0.5, 3, 30]))
    def target_step(self, step):
        self.script.append(("target_step", 0, step))

    @stateful.rule(node=NODES, gap=GAPS, is_killed=strategies.booleans())
    def replace(self, node, gap, is_killed):
        self.script.append(("replace", gap, node, is_killed))

    @stateful.rule(node=NODES, gap=GAPS, duration=strategies.sampled_from([0.3, 5, 15]))
    def pause(self, node, gap, duration):
        self.script.append(("pause", gap, node, duration))

    @stateful.rule(gap=GAPS)
    def disconnect(self, gap):
        self.script.append(("disconnect", gap))

    @stateful.rule(gap=GAPS)
    def swap_batchers(self, gap):
        self.script.append(("swap_batchers", gap))

    @stateful.rule(duration=strategies.sampled_from([5, 12, 65, 4_000]))
    def wait(self, duration):
        self.script.append(("trim", duration))

    def teardown(self):
        violations = trio.run(
            _play, self.script, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        assert violations == [], violations


async def _play(script):
    with trio.fail_after(1_000_000):
        async with trio.open_nursery() as nursery:
            player = _Player(mesh_model.Mesh(nursery), nursery)
            for name in sorted(mesh_model.ZONES):
                await player.mesh.start(name)
            for name, gap, *arguments in script:
                await trio.sleep(gap)
                await getattr(player, name)(*arguments)
            await player.heal_and_repeat()
            nursery.cancel_scope.cancel()
    return player.mesh.oracle.violations


class _Player:
    """Carries out one script."""

    def __init__(self, mesh, nursery):
        self.mesh = mesh
        self.nursery = nursery
        self.texts = {}

    async def request(self, node, key, timeout_ms):
        text = self._text(node, key)
        self.nursery.start_soon(self.mesh.attempt, node, text, timeout_ms)
        await trio.lowlevel.checkpoint()

    async def log_fault(self, fate):
        self.mesh.log.faults.append(fate)

    async def log_outage(self, is_down):
        self.mesh.log.is_down = is_down

    async def message_fault(self, fate):
        self.mesh.message_plan.append(fate)

    async def forward_fault(self, fate):
        self.mesh.forward_plan.append(fate)

    async def target_step(self, step):
        self.mesh.target_plan.append(step)

    async def replace(self, node, is_killed):
        if is_killed:
            self.mesh.processes[node].kill()
        await self.mesh.start(node)

    async def pause(self, node, duration):
        self.mesh.processes[node].resume_at = trio.current_time() + duration

    async def disconnect(self):
        if self.mesh.oracle.open:
            number = max(self.mesh.oracle.open)
            if number in self.mesh.scopes:
                self.mesh.scopes[number].cancel()

    async def swap_batchers(self):
        self.mesh.swapped = not self.mesh.swapped

    async def trim(self):
        self.mesh.log.trim(mesh_model.RETENTION_S)

    async def heal_and_repeat(self):
        """Once all faults have ended, every repeat gets an answer and no key runs again."""
        self.mesh.log.is_down = False
        for plan in ("message_plan", "forward_plan", "target_plan"):
            getattr(self.mesh, plan).clear()
        self.mesh.log.faults.clear()
        await trio.sleep(40)
        for text in list(self.texts.values()):
            for name in sorted(mesh_model.ZONES):
                if await self.mesh.attempt(name, text) in (None, "owner_unreachable"):
                    self.mesh.oracle.violations.append(f"{text} has no conclusive answer at {name}")

    def _text(self, node, key):
        now_ms = NOW + round(trio.current_time() * 1000)
        if key not in self.texts:
            process = self.mesh.processes[node]
            issuer = keys.KeyIssuer(node, process.incarnation, SECRET)
            self.texts[key] = issuer.issue(now_ms) if key % 2 else uuid7(now_ms, key)
        return self.texts[key]


TestAtMostOnceMachine = AtMostOnceMachine.TestCase
TestAtMostOnceMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
