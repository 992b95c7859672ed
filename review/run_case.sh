#!/usr/bin/env bash
# Run the case in a folder with the stand-ins and the libraries that the deploy file's build fetched.
set -u
folder="$(cd "$1" && pwd)"
review="$(cd "$(dirname "$0")" && pwd)"
export PYTHONPATH="$review:$review/../target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
