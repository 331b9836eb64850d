#!/usr/bin/env bash
# The stand-ins need the standard library only and nothing is compiled; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in ./*.py [0-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
