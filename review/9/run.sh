#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export PYTHONPATH="$root/target/deps:$root:$root/review/common2"
# A failed import would end with 1 as well.
python3 -c "import deployment, streams" || exit 2
exec python3 "$here/case.py"
