#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files that need no library beyond the interpreter's own, so that
# they are only checked here. Runs after the build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/rig2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py <<'DONE'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print(len(sys.argv) - 1, "files checked")
DONE
