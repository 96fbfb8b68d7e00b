#!/bin/sh
# Builds what the scripts of review/9 to review/13 start beside the nodes: their stand-ins
# are Python files that need the standard library only. The nodes are built by the build
# command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
python3 -m py_compile common-3/*.py || exit 1
for case in 9 10 11 12 13; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py" || exit 1
    fi
done
