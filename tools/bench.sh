#!/usr/bin/env bash
# Installs missing packages, builds, and measures the system on this machine. Prints one "name value unit" line per figure.
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
