#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python files of the
# standard library only, so they are compiled to check them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
