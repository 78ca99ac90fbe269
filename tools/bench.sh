#!/usr/bin/env bash
# Measures the system on this machine; prints one "name value unit" line for each figure.
set -euo pipefail
cd "$(dirname "$0")/.."

case " $* " in
*" --help "*) exec python3 tools/bench.py --help ;;
esac
source tools/packages.sh
install_packages >&2
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet >&2
exec python3 tools/bench.py "$@"
