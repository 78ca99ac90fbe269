#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    cat <<'TEXT'
Usage: tools/test.sh [--sanitize] [--help]

Installs missing packages, builds, and runs all tests.

  --sanitize   build with the address and undefined behaviour sanitizers (in build-sanitize) and run the tests there
TEXT
}

build=build
options=()
for argument in "$@"; do
    case "$argument" in
    --sanitize)
        build=build-sanitize
        options=(-DPARSLEYTRAIL_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug "-DCMAKE_CXX_FLAGS_DEBUG=-O1 -g1")
        ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
    esac
done

source tools/packages.sh
install_packages
cmake -S . -B $build -G Ninja "${options[@]}" >/dev/null
ninja -C $build --quiet
ctest --test-dir $build --output-on-failure -j "$(nproc)"
