#!/usr/bin/env bash
# Builds the programs, starts a small system on loopback, and sends it one chat completion and one booking request.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    cat <<'TEXT'
Usage: tools/demo.sh [--keep] [--help]

Installs missing packages, builds, and starts on loopback: a stand-in for the platform, two entries, a chain of three
layer ranges with two engines each, and a booking application. Applies a configuration file, requests one streamed
chat completion, makes one booking, prints both responses and `parsleyctl status`, and stops everything.

  --keep   keep the system running, print its addresses, and stop it on Ctrl-C
TEXT
}

keep=0
for argument in "$@"; do
    case "$argument" in
    --keep) keep=1 ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
    esac
done

source tools/packages.sh
install_packages
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet parsley-entry parsley-sidecar parsleyctl stand-in-platform stand-in-engine stand-in-application

work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

base=${PARSLEY_DEMO_PORT:-18000}
platform=127.0.0.1:$base
operator_key=operator-demo-key
caller_key=studio-demo-key
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
run() { # NAME COMMAND...: runs the command in the background; its output goes to NAME.log
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}
wait_for() { # WHAT COMMAND...: waits up to 20 s until the command succeeds
    local what=$1
    shift
    for _ in $(seq 1 200); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "timed out after 20 s waiting for $what; logs:" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

run platform build/stand-in-platform --listen=$platform
run engines build/stand-in-engine --layers=32 --adapters=clay \
    --engines=e0=127.0.0.1:$((base + 20)):0-10,e1=127.0.0.1:$((base + 21)):0-10,e2=127.0.0.1:$((base + 22)):10-22,e3=127.0.0.1:$((base + 23)):10-22,e4=127.0.0.1:$((base + 24)):22-32,e5=127.0.0.1:$((base + 25)):22-32
run application build/stand-in-application --listen=127.0.0.1:$((base + 40))

entries=127.0.0.1:$((base + 3)),127.0.0.1:$((base + 6))
for i in 0 1; do
    cat >"$work/entry$i.ini" <<INI
[entry]
id = entry-$i
region = nl-west
data-center = nl-west-$i
caller-port = $((base + 1 + 3 * i))
operator-port = $((base + 2 + 3 * i))
peer-port = $((base + 3 + 3 * i))
operator-key-digest = $(digest $operator_key)
platform = $platform
entries = $entries
INI
    run entry$i build/parsley-entry --settings="$work/entry$i.ini"
done

sidecar() { # starts a sidecar: ID LINK-PORT TARGET-PORT KIND DATA-CENTER [SERVICE]
    local service=${6:-} class=gpu-a
    [ -z "$service" ] || class=cpu
    cat >"$work/$1.ini" <<INI
[sidecar]
id = $1
region = nl-west
data-center = $5
link-port = $2
operator-port = $(($2 + 100))
operator-key-digest = $(digest $operator_key)
platform = $platform
entries = $entries
kind = $4
target = 127.0.0.1:$3
target-class = $class
service = $service
INI
    run "$1" build/parsley-sidecar --settings="$work/$1.ini"
}
for i in 0 1 2 3 4 5; do
    sidecar engine-$i $((base + 60 + i)) $((base + 20 + i)) engine nl-west-$((i % 2))
done
sidecar booking-0 $((base + 70)) $((base + 40)) application nl-west-0 booking

cat >"$work/studio.ini" <<INI
[model.assistant]
layers = 32
versions = v1
adapters = clay

[service.chat]
kind = pipeline
model = assistant
version = v1
adapter = clay

[service.booking]
kind = plain
non-idempotent = POST /bookings

[workspace.studio]
key-digests = $(digest $caller_key)
services = chat, booking

[target-class.gpu-a]
accelerator = a
memory-gib = 24
tokens-per-second = 2000

[target-class.cpu]
accelerator = none
memory-gib = 0
tokens-per-second = 0
INI

export PARSLEY_OPERATOR_KEY=$operator_key PARSLEY_ENTRY=127.0.0.1:$((base + 2))
caller=http://127.0.0.1:$((base + 1))
other=http://127.0.0.1:$((base + 4))
all_joined() { build/parsleyctl status --format=json | python3 -c '
import json, sys
status = json.load(sys.stdin)
ready = [target for target in status["targets"] if target["state"] == "Ready"]
sys.exit(0 if len(ready) == 7 and len(status["entries"]) == 2 else 1)'; }
wait_for "entry" curl -sf "http://$PARSLEY_ENTRY/operator/v1/health"
wait_for "targets" all_joined

echo "== apply"
build/parsleyctl apply "$work/studio.ini" --wait
wait_for "ready entry" curl -sf "http://$PARSLEY_ENTRY/operator/v1/ready"
wait_for "ready entry" curl -sf "http://127.0.0.1:$((base + 5))/operator/v1/ready"

echo "== chat completion (streamed)"
answer=$(curl -sfN "$caller/v1/chat/completions" -H "Authorization: Bearer $caller_key" -H 'Content-Type: application/json' \
    -d '{"model": "chat", "stream": true, "max_tokens": 12, "messages": [{"role": "user", "content": "Which wheel is free on Friday?"}]}')
printf '%s\n' "$answer"
grep -q '^data: \[DONE\]' <<<"$answer"

echo "== booking"
booking=$(curl -sf "$other/services/booking/bookings" -H "Authorization: Bearer $caller_key" -H 'Idempotency-Key: demo-1' \
    -H 'Content-Type: application/json' -d '{"wheel": "wheel 3, Friday 10:00"}')
printf '%s\n' "$booking"
grep -q '"booking"' <<<"$booking"

echo "== status"
build/parsleyctl status

if [ "$keep" -eq 1 ]; then
    cat <<TEXT

callers:    $caller and $other   key: $caller_key
operators:  $PARSLEY_ENTRY and 127.0.0.1:$((base + 5))   key: $operator_key
logs:       $work
Ctrl-C stops everything.
TEXT
    wait
fi
