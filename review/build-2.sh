#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file. Their
# stand-ins are in Python and use its standard library only, so compiling them is a check.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import pathlib

for path in (pathlib.Path("rig.py"), *sorted(pathlib.Path().glob("[6-9]/*.py")), *pathlib.Path().glob("10/*.py")):
    compile(path.read_text(), str(path), "exec")
END
