#!/usr/bin/env bash
# The stand-ins are Python and need nothing but the libraries that the deploy file's build puts into
# target/deps. This checks that they can be loaded.
set -eu
review="$(cd "$(dirname "$0")" && pwd)"
export PYTHONPATH="$review:$review/../target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import msgspec, standins.case, standins.deployment"
echo "review: the stand-ins load"
