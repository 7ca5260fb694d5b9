#!/bin/sh
# Checks that the stand-ins of the review's scripts compile; they are Python and need no build.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || sh deploy/build.sh
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import glob
for path in glob.glob("review/**/*.py", recursive=True) + ["platform/tests/platform_store.py"]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
