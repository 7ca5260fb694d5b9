#!/bin/sh
# Puts the libraries and this repository's packages into target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/deps/.libraries -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r requirements.txt
    touch target/deps/.libraries
fi
for package in packages/core packages/daemon platform; do
    for source in "$package"/src/*; do
        rm -rf "target/deps/$(basename "$source")"
        cp -R "$source" target/deps/
        # Instances that start do not write the compiled modules.
        python3 -m compileall -q --invalidation-mode unchecked-hash \
            "target/deps/$(basename "$source")"
    done
done
