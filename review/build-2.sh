#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the build of the deploy file: the
# project's stand-ins of the store and of workers, and this review's own. All is Python, so that
# building means compiling and importing it with the libraries under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common2"
python3 -m compileall -q turmerictray review/common2
python3 - <<'PY'
import importlib

for name in (
    "turmerictray.platform.standins.store",
    "turmerictray.platform.standins.worker",
    "turmerictray.platform.standins.http",
    "deployment",
    "streams",
):
    importlib.import_module(name)
PY
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
