#!/usr/bin/env bash
# Prepares the scripts of cases 4 to 8. Their stand-ins are review/lib-2/standins.py and the case.py of each case, which need
# nothing but Python 3 and its standard library: there is nothing to build. This only checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[4-8]/*.py; do
    python3 - "$file" <<'PY'
import ast
import sys

ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
PY
done
test -x target/parsley-relay
