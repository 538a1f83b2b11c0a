#!/usr/bin/env bash
# Measures the router on loopback: the cost of the extra hop, the effect of floods,
# and faults under load. Each result is printed with a baseline from the same run.
# Needs release builds and takes about three minutes. Absolute numbers depend on the
# machine; only ratios within one run are meaningful.
#
# Usage: scripts/measure.sh [BIN_DIR [hop|flood|faults|all]]
# BIN_DIR holds the release builds, default target/release. SECONDS_PER_STEP sets the
# length of each load run, default 8.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${1:-$root/target/release}
duration_s=${SECONDS_PER_STEP:-8}
dir=

cleanup() {
    [ -z "$dir" ] || "$root/scripts/run-local.sh" --stop "$dir" > /dev/null
}
trap cleanup EXIT

# Starts a local run whose upstreams take the time WORK for each request, and sets
# `dir` to its directory.
start_run() { # WORK
    "$root/scripts/run-local.sh" --keep --bin "$bin" --work "$1" > /tmp/medlarreel-measure.$$
    dir=$(sed -n 's/.*left running in //p' /tmp/medlarreel-measure.$$)
    rm /tmp/medlarreel-measure.$$
}

stop_run() {
    "$root/scripts/run-local.sh" --stop "$dir" > /dev/null
    dir=
}

# Prints a value of an instance's settings file.
read_setting() { # DOMAIN KEY
    sed -n "s/^$2 = //p" "$dir/$1.ini"
}

# Prints the caller addresses of the instances in the domains PREFIX-a to PREFIX-c,
# separated by commas.
caller_addresses() { # PREFIX
    for domain in "$1-a" "$1-b" "$1-c"; do read_setting "$domain" callers; done | paste -sd,
}

# Prints the addresses of a service's upstreams in the instance list.
upstream_addresses() { # SERVICE
    local list
    list=$(read_setting loft-a list)
    "$bin/standin-client" --to "${list#http://}" --path /instances --print-body \
        | tr '{' '\n' | grep "\"service\":\"$1\"" | grep -o '127[^"]*' | paste -sd,
}

run_load() { # LABEL ARGUMENTS...
    local label=$1
    shift
    echo "-- $label"
    "$bin/medlar-load" --duration "${duration_s}s" "$@" 2>&1 || true
}

# Sets the faults that a stand-in injects; BODY is a JSON object.
set_faults() { # ADDRESS BODY
    "$bin/standin-client" --to "$1" --path /admin/faults --body "$2" > /dev/null
}

measure_hop() {
    echo "== cost of the extra hop (workshop, 2 ms of work, 1,500/s)"
    start_run 2ms
    for seed in 1 2 3; do
        run_load "direct, seed $seed" --target "$(upstream_addresses workshop)" --service workshop \
            --rate 1500/s --seed "$seed"
        run_load "router, seed $seed" --target "$(caller_addresses loft)" --service workshop \
            --rate 1500/s --seed "$seed"
    done
    for domain in loft-a loft-b loft-c; do
        pid=$(awk '$2 == "medlarreeld"' "$dir/pids" | head -1 | cut -d' ' -f1)
        echo "instance $pid: $(ps -o rss=,cputimes= -p "$pid" | awk '{print $1 " KiB resident, " $2 " s of processor time"}')"
        break
    done
    stop_run
}

# Runs a mix of all ranks alone, then during a flood of archive requests, then during
# one of status requests.
measure_floods() {
    echo "== floods (intake, 40 ms of work, 36 slots: about 870/s)"
    start_run 40ms
    local target
    target=$(caller_addresses loft)
    for seed in 1 2 3; do
        run_load "no flood, seed $seed" --target "$target" --service intake --seed "$seed" \
            --rank status=5,order=3,archive=2 --rate 430/s --deadline 1s
        "$bin/medlar-load" --target "$target" --service intake --seed "9$seed" --rank archive \
            --rate 8700/s --duration "${duration_s}s" --deadline 1s > "$dir/flood.out" 2>&1 &
        local flood_pid=$!
        run_load "during 8,700/s of archive, seed $seed" --target "$target" --service intake \
            --seed "$seed" --rank status=5,order=3,archive=2 --rate 430/s --deadline 1s
        wait "$flood_pid" || true
        grep -E '^(all|status|.*medlar-code|served)' "$dir/flood.out" || true
        "$bin/medlar-load" --target "$target" --service intake --seed "8$seed" --rank status \
            --rate 8700/s --duration "${duration_s}s" --deadline 1s > "$dir/flood.out" 2>&1 &
        flood_pid=$!
        run_load "during 8,700/s of status, seed $seed" --target "$target" --service intake \
            --seed "$seed" --rank status=5,order=3,archive=2 --rate 430/s --deadline 1s
        wait "$flood_pid" || true
        grep -E '^(all|status|.*medlar-code|served)' "$dir/flood.out" || true
    done
    stop_run
}

# Runs the same load without a fault, then while the log, an upstream or an instance
# is unavailable.
measure_faults() {
    echo "== faults under 500/s of load (intake, 5 ms of work)"
    start_run 5ms
    local target log_address frozen_upstream
    target=$(caller_addresses loft)
    run_load "no fault" --target "$target" --service intake --rate 500/s --deadline 2s
    log_address=$(read_setting loft-a log)
    set_faults "${log_address#http://}" '{"unavailable": "hang"}'
    run_load "log unavailable" --target "$target" --service intake --rate 500/s --deadline 2s
    frozen_upstream=$(upstream_addresses intake | cut -d, -f1)
    (sleep 2; set_faults "$frozen_upstream" '{"freeze": true}') &
    run_load "log unavailable, one of six upstreams frozen after 2 s" --target "$target" \
        --service intake --rate 500/s --deadline 2s
    set_faults "$frozen_upstream" '{"freeze": false}'
    set_faults "${log_address#http://}" '{"unavailable": "no"}'
    sleep 3
    local instance_pid
    instance_pid=$(awk '$2 == "medlarreeld" {print $1; exit}' "$dir/pids")
    (sleep 2; kill -9 "$instance_pid") &
    run_load "one of three instances killed after 2 s, load to the others" \
        --target "$(read_setting loft-b callers),$(read_setting loft-c callers)" \
        --service intake --rate 500/s --deadline 2s
    stop_run
}

case ${2:-all} in
    hop) measure_hop ;;
    flood) measure_floods ;;
    faults) measure_faults ;;
    *) measure_hop; measure_floods; measure_faults ;;
esac
