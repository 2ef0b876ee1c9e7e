#!/usr/bin/env bash
# The stand-ins are Python and need no build; this checks that all of them compile and import.
set -e
cd "$(dirname "$0")/.."
python3 - review <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
PYTHONPATH=target/deps:.:review/common exec python3 -B -c "import harness"
