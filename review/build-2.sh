#!/usr/bin/env bash
# Builds what the cases 4 and up start, after the build of the deploy file. The stand-ins are
# Python without a build step of their own: this checks that they compile and find the libraries
# of the build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins2/*.py [4-8]/*.py <<'PY'
import sys

sys.path.insert(0, "../target/deps")
import msgspec  # noqa: F401

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
