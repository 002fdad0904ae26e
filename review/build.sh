#!/bin/sh
# Builds the stand-ins of the cases: plain Python, which only has to be readable
# with the packages that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path("review").rglob("*.py")):
  compile(path.read_text(), str(path), "exec")
sys.path[:0] = [".", "target/deps", "review"]
import standins  # noqa: F401
PY
