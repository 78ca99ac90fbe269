#!/usr/bin/env bash
# Checks formatting and lints all sources of our own.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = --help ]; then
    echo "Usage: tools/lint.sh [--fix]: clang-format and clang-tidy over all sources; --fix formats them"
    exit 0
fi

mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'stand-ins/*.h' 'stand-ins/*.cpp' 'tests/*.h' 'tests/*.cpp' 'bench/*.h' 'bench/*.cpp')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
fi
clang-format --dry-run --Werror "${files[@]}"
echo "format: clean (${#files[@]} files)"

# Two types of one name in one namespace link without a word and use each other's functions.
repeated=$(grep -hE '^(struct|class|enum class) [A-Za-z]+( final)?( [:{]|$)' src/*/*.h src/*/*.cpp platform/* | awk '$1 == "enum" { print $3; next } { print $2 }' | sort | uniq -d)
if [ -n "$repeated" ]; then
    echo "type names defined twice: $repeated"
    exit 1
fi
echo "type names: unique"

# The precompiled database of the ordinary build; fuzzers have another compiler and are left to it.
cmake -S . -B build -G Ninja >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v '/fuzz_' | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/tmp/parsley-lint.$$ || { rm -f /tmp/parsley-lint.$$; exit 1; }
rm -f /tmp/parsley-lint.$$
echo "lint: clean"
