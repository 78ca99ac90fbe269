#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each with a limited number of inputs.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = --help ]; then
    echo "Usage: tools/fuzz.sh [RUNS]: fuzzes the message decoders, the configuration parser and the relay's HTTP parser with RUNS inputs (default 200000; a quarter for the configuration parser)"
    exit 0
fi
runs=${1:-200000}
source tools/packages.sh
install_packages
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DPARSLEYTRAIL_FUZZ=ON -DPARSLEYTRAIL_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug "-DCMAKE_CXX_FLAGS_DEBUG=-O1 -g1" >/dev/null
ninja -C build-fuzz --quiet fuzz-frames fuzz-configuration fuzz-http_message
corpus=$(mktemp -d)
trap 'rm -rf "$corpus"' EXIT
mkdir "$corpus/frames" "$corpus/configuration" "$corpus/http"
build-fuzz/fuzz-frames -seed=1 -runs="$runs" -max_len=2048 -verbosity=0 "$corpus/frames"
build-fuzz/fuzz-configuration -seed=1 -runs="$((runs / 4))" -max_len=4096 -verbosity=0 "$corpus/configuration" tests/corpus/configuration
build-fuzz/fuzz-http_message -seed=1 -runs="$runs" -max_len=1024 -verbosity=0 "$corpus/http" tests/corpus/http
echo "fuzz: $runs HTTP messages, $runs frames and $((runs / 4)) configuration files, no findings"
