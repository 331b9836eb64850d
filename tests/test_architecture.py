import ast
import pathlib

import pytest

PURE_PACKAGES = (
    "document",
    "membership",
    "dissemination",
    "routing",
    "limits",
    "protocol",
    "quotas",
    "rollouts",
)
PURE_FILES = (
    "node/core.py",
    "node/core_history.py",
    "history/buffer.py",
    "history/batches.py",
    "history/queries.py",
    "idempotency/keys.py",
    "idempotency/claims.py",
    "idempotency/outcomes.py",
)
FORBIDDEN = {"trio", "h11", "pynng", "socket", "threading", "asyncio", "subprocess", "time"}
SOURCE = pathlib.Path(__file__).parent.parent / "src" / "buckthornstage"


def _pure_files():
    inside = [path for name in PURE_PACKAGES for path in sorted((SOURCE / name).glob("*.py"))]
    return [*inside, *(SOURCE / name for name in PURE_FILES)]


@pytest.mark.parametrize("path", _pure_files(), ids=lambda path: str(path.relative_to(SOURCE)))
def test_decisions_do_no_input_or_output(path):
    """Guards against decision logic that cannot be tested with a fake clock and a seed."""
    imported = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            imported |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add((node.module or "").split(".")[0])
    assert not imported & FORBIDDEN
