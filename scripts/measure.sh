#!/usr/bin/env bash
# Measures the router on loopback: the cost of the hop, floods, and faults under
# load. Every figure stands beside one of the same run without the cause.
# Needs release builds; takes about three minutes. Absolute numbers depend on
# the machine; only ratios within one run mean anything.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${1:-$root/target/release}
seconds=${SECONDS_PER_STEP:-8}
dir=

finish() {
    [ -z "$dir" ] || "$root/scripts/run-local.sh" --stop "$dir" > /dev/null
}
trap finish EXIT

start() { # WORK
    "$root/scripts/run-local.sh" --keep --bin "$bin" --work "$1" > /tmp/medlarreel-measure.$$
    dir=$(sed -n 's/.*left running in //p' /tmp/medlarreel-measure.$$)
    rm /tmp/medlarreel-measure.$$
}

stop() {
    "$root/scripts/run-local.sh" --stop "$dir" > /dev/null
    dir=
}

setting() { # DOMAIN KEY
    sed -n "s/^$2 = //p" "$dir/$1.ini"
}

callers() { # PREFIX
    for domain in "$1-a" "$1-b" "$1-c"; do setting "$domain" callers; done | paste -sd,
}

# Addresses of the listed upstreams of a service.
upstreams() { # SERVICE
    local list
    list=$(setting loft-a list)
    "$bin/standin-client" --to "${list#http://}" --path /instances --print-body \
        | tr '{' '\n' | grep "\"service\":\"$1\"" | grep -o '127[^"]*' | paste -sd,
}

load() { # LABEL ARGUMENTS...
    local label=$1
    shift
    echo "-- $label"
    "$bin/medlar-load" --duration "${seconds}s" "$@" 2>&1 || true
}

admin() { # ADDRESS BODY
    "$bin/standin-client" --to "$1" --path /admin/faults --body "$2" > /dev/null
}

hop() {
    echo "== cost of the hop (workshop, 2 ms of work, 1,500/s)"
    start 2ms
    for seed in 1 2 3; do
        load "direct, seed $seed" --target "$(upstreams workshop)" --service workshop \
            --rate 1500/s --seed "$seed"
        load "router, seed $seed" --target "$(callers loft)" --service workshop \
            --rate 1500/s --seed "$seed"
    done
    for domain in loft-a loft-b loft-c; do
        pid=$(awk '$2 == "medlarreeld"' "$dir/pids" | head -1 | cut -d' ' -f1)
        echo "instance $pid: $(ps -o rss=,cputimes= -p "$pid" | awk '{print $1 " KiB resident, " $2 " s of processor time"}')"
        break
    done
    stop
}

# Runs urgent and ordinary work alone, then beside a flood of one rank.
flood() {
    echo "== floods (intake, 40 ms of work, 36 slots: about 870/s)"
    start 40ms
    local target
    target=$(callers loft)
    for seed in 1 2 3; do
        load "no flood, seed $seed" --target "$target" --service intake --seed "$seed" \
            --rank status=5,order=3,archive=2 --rate 430/s --deadline 1s
        "$bin/medlar-load" --target "$target" --service intake --seed "9$seed" --rank archive \
            --rate 8700/s --duration "${seconds}s" --deadline 1s > "$dir/flood.out" 2>&1 &
        local flooder=$!
        load "beside 8,700/s of archive, seed $seed" --target "$target" --service intake \
            --seed "$seed" --rank status=5,order=3,archive=2 --rate 430/s --deadline 1s
        wait "$flooder" || true
        grep -E '^(all|status|.*medlar-code|served)' "$dir/flood.out" || true
        "$bin/medlar-load" --target "$target" --service intake --seed "8$seed" --rank status \
            --rate 8700/s --duration "${seconds}s" --deadline 1s > "$dir/flood.out" 2>&1 &
        flooder=$!
        load "beside 8,700/s of status, seed $seed" --target "$target" --service intake \
            --seed "$seed" --rank status=5,order=3,archive=2 --rate 430/s --deadline 1s
        wait "$flooder" || true
        grep -E '^(all|status|.*medlar-code|served)' "$dir/flood.out" || true
    done
    stop
}

faults() {
    echo "== faults under 500/s of load (intake, 5 ms of work)"
    start 5ms
    local target log victim
    target=$(callers loft)
    load "no fault" --target "$target" --service intake --rate 500/s --deadline 2s
    log=$(setting loft-a log)
    admin "${log#http://}" '{"unavailable": "hang"}'
    load "log away" --target "$target" --service intake --rate 500/s --deadline 2s
    victim=$(upstreams intake | cut -d, -f1)
    (sleep 2; admin "$victim" '{"freeze": true}') &
    load "log away, one of six upstreams frozen after 2 s" --target "$target" \
        --service intake --rate 500/s --deadline 2s
    admin "$victim" '{"freeze": false}'
    admin "${log#http://}" '{"unavailable": "no"}'
    sleep 3
    local instance
    instance=$(awk '$2 == "medlarreeld" {print $1; exit}' "$dir/pids")
    (sleep 2; kill -9 "$instance") &
    load "one of three instances killed after 2 s, load to the others" \
        --target "$(setting loft-b callers),$(setting loft-c callers)" \
        --service intake --rate 500/s --deadline 2s
    stop
}

case ${2:-all} in
    hop) hop ;;
    flood) flood ;;
    faults) faults ;;
    *) hop; flood; faults ;;
esac
