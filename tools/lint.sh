#!/usr/bin/env bash
# Checks the formatting of all sources of this project and lints them.
set -euo pipefail
cd "$(dirname "$0")/.."

usage="Usage: tools/lint.sh [--fix] [--jobs N]: clang-format and clang-tidy over all sources; --fix formats them; N processes at a time (default: one for each core)"
jobs=$(nproc)
fixes=
while [ $# -gt 0 ]; do
    case "$1" in
    --help) echo "$usage"; exit 0 ;;
    --fix) fixes=yes; shift ;;
    --jobs) jobs=${2:?$usage}; shift 2 ;;
    *) echo "$usage" >&2; exit 2 ;;
    esac
done

mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'stand-ins/*.h' 'stand-ins/*.cpp' 'tests/*.h' 'tests/*.cpp' 'bench/*.h' 'bench/*.cpp' 'lab/*.h' 'lab/*.cpp')
if [ -n "$fixes" ]; then
    clang-format -i "${files[@]}"
fi
clang-format --dry-run --Werror "${files[@]}"
echo "format: clean (${#files[@]} files)"

# Two types with the same name in one namespace violate the one-definition rule: they link without an error, and one may use
# the functions of the other.
repeated=$(grep -hE '^(struct|class|enum class) [A-Za-z]+( final)?( [:{]|$)' src/*/*.h src/*/*.cpp platform/* | awk '$1 == "enum" { print $3; next } { print $2 }' | sort | uniq -d)
if [ -n "$repeated" ]; then
    echo "type names defined twice: $repeated"
    exit 1
fi
echo "type names: unique"

# clang-tidy uses the compilation database of the regular build. The fuzzers are left out: they are built with another compiler.
cmake -S . -B build -G Ninja >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v '/fuzz_' | xargs -P "$jobs" -n 2 clang-tidy -p build --quiet 2>/tmp/parsley-lint.$$ || { rm -f /tmp/parsley-lint.$$; exit 1; }
rm -f /tmp/parsley-lint.$$
echo "lint: clean"
