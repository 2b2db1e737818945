#!/bin/sh
# Builds the stand-ins of the cases: Python files without libraries of their own, so they are only checked here.
# Runs after the build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/rig.py review/*/case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print(len(sys.argv) - 1, "files checked")
END
