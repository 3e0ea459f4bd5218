#!/bin/sh
# The stand-ins of the scripts need no build: they are Python and use the
# standard library alone. The entries run from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
exec python3 -m py_compile review/rig2.py review/[6-9]/play.py review/10/play.py
