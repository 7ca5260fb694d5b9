#!/bin/sh
# Builds every stand-in that the scripts of review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins3 platform/tests/platform_store.py
