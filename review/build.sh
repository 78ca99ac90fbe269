#!/bin/sh
# Builds the stand-ins that the review's scripts start. They are Python modules of the standard library alone, run from source, so
# that there is nothing to compile: this checks that the interpreter is there and that the modules are well formed.
set -e
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
CHECK
done
