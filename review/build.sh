#!/usr/bin/env bash
# Builds what the scripts start beside the nodes: stand-ins in Python's own library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standin 1 2 3
