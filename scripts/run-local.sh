#!/usr/bin/env bash
# Runs two clubs on loopback: stand-ins for the log, the instance list and the
# upstreams, and one medlarreeld per club and failure domain. Publishes and
# activates scripts/local-preset.ini, sends requests of all ranks through every
# instance, and prints which upstream served them.
set -euo pipefail

usage() {
    cat <<'TEXT'
Usage: scripts/run-local.sh [--keep] [--bin DIR] [--work TIME]
       scripts/run-local.sh --stop DIR

  --keep      leave everything running; print addresses and commands to try
  --stop DIR  end a run that was kept, by the process ids in its directory
  --bin DIR   use the programs in DIR instead of building release ones
  --work TIME time that an upstream takes for a request, default 2ms
TEXT
}

root=$(cd "$(dirname "$0")/.." && pwd)
preset=$root/scripts/local-preset.ini
preset_name=local
# Timeouts. On a machine with cold caches each phase takes a few seconds.
start_timeout_s=20
ready_timeout_s=60
stop_timeout_s=35 # exceeds the instances' drain limit of 30 s

# Prints the start time of a process, so that a reused process id is not mistaken
# for a process of this run. Prints nothing where /proc does not exist.
start_time() { # PID
    # The process may have exited since it was last checked, which is not an error.
    { sed 's/.*) //' "/proc/$1/stat" 2>/dev/null || true; } | cut -d' ' -f20
}

is_running() { # PID START
    kill -0 "$1" 2>/dev/null && [ "$(start_time "$1")" = "$2" ]
}

# Stops the processes listed in DIR/pids, instances before stand-ins.
stop_run() { # DIR
    [ -f "$1/pids" ] || return 0
    local name_prefix pid name start end
    for name_prefix in medlarreeld standin; do
        end=$((SECONDS + stop_timeout_s))
        while read -r pid name start; do
            if [[ $name == "$name_prefix"* ]] && is_running "$pid" "$start"; then
                kill "$pid" 2>/dev/null || true
            fi
        done < "$1/pids"
        while read -r pid name start; do
            [[ $name == "$name_prefix"* ]] || continue
            while is_running "$pid" "$start" && [ "$SECONDS" -lt "$end" ]; do sleep 0.1; done
            if is_running "$pid" "$start"; then
                echo "process $pid ($name) did not exit in time; killing it" >&2
                kill -9 "$pid" 2>/dev/null || true
            fi
        done < "$1/pids"
    done
    mv "$1/pids" "$1/pids.ended"
}

keep=no
bin=
work=2ms
while [ $# -gt 0 ]; do
    case $1 in
        --keep) keep=yes ;;
        --bin)
            bin=$(cd "${2:?--bin needs a directory}" && pwd)
            shift
            ;;
        --work)
            work=${2:?--work needs a time}
            shift
            ;;
        --stop)
            dir=${2:?--stop needs the directory of a run}
            [ -f "$dir/pids" ] || { echo "no running processes are listed in $dir" >&2; exit 1; }
            stop_run "$dir"
            echo "stopped the run in $dir"
            exit 0
            ;;
        --help | -h) usage; exit 0 ;;
        *) usage >&2; exit 2 ;;
    esac
    shift
done

if [ -z "$bin" ]; then
    (cd "$root" && cargo build --release --locked)
    bin=${CARGO_TARGET_DIR:-$root/target}/release
fi
dir=$(mktemp -d "${TMPDIR:-/tmp}/medlarreel-local.XXXXXX")
client() { "$bin/standin-client" "$@"; }

cleanup() {
    local status=$?
    trap - EXIT
    if [ "$status" -eq 0 ] && [ "$keep" = yes ]; then exit 0; fi
    stop_run "$dir"
    if [ "$status" -eq 0 ]; then
        rm -r "$dir"
    else
        echo "failed; logs are in $dir" >&2
    fi
    exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
    echo "$1" >&2
    exit 1
}

# Starts a program in the background with its output in DIR/NAME.out and DIR/NAME.err,
# and lists it in DIR/pids.
launch() { # NAME PROGRAM ARGUMENTS...
    local name=$1 program=$2
    shift 2
    "$bin/$program" "$@" > "$dir/$name.out" 2> "$dir/$name.err" < /dev/null &
    echo "$! $program $(start_time $!)" >> "$dir/pids"
}

# Waits for a stand-in to print its listen address, and prints that address.
announced_address() { # NAME
    local end=$((SECONDS + start_timeout_s)) address=
    while [ "$SECONDS" -lt "$end" ]; do
        address=$(sed -n 's/^listening on //p' "$dir/$1.out")
        if [ -n "$address" ]; then
            echo "$address"
            return
        fi
        sleep 0.05
    done
    fail "$1 did not start; see $dir/$1.err"
}

# Repeats a command until it succeeds, or fails the run after TIMEOUT_S seconds.
retry_until_success() { # TIMEOUT_S WHAT COMMAND...
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" > "$dir/retry.out" 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            cat "$dir/retry.out" >&2
            fail "timed out: $what"
        fi
        sleep 0.2
    done
}

# Prints the failure domains of a club.
club_domains() { # CLUB
    case $1 in
        kashmir) echo "loft-a loft-b loft-c" ;;
        souss) echo "souss-a souss-b souss-c" ;;
    esac
}

# Prints the services of a club, one per line: name, fencing, slots and connections
# as in the preset, and further options of the stand-in.
club_services() { # CLUB
    case $1 in
        kashmir)
            echo "intake checked 6 100 --keyed"
            echo "workshop checked 6 100"
            ;;
        souss)
            echo "marking-desk checked 2 50 --keyed"
            echo "registry unchecked 2 50"
            ;;
    esac
}

clubs="kashmir souss"
secret=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
token=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')

echo "== stand-ins"
launch log standin-log
launch list standin-list
log=$(announced_address log)
list=$(announced_address list)
upstreams=()
for club in $clubs; do
    while read -r service fencing slots connections keyed; do
        for domain in $(club_domains "$club"); do
            for number in 1 2; do
                name=$service-$domain-$number
                launch "$name" standin-upstream --service "$service" --name "$name" \
                    --fencing "$fencing" --slots "$slots" --connections "$connections" \
                    --work "$work" $keyed
                upstreams+=("$name $service $domain $fencing")
            done
        done
    done < <(club_services "$club")
done
entries=()
for upstream in "${upstreams[@]}"; do
    read -r name service domain fencing <<< "$upstream"
    address=$(announced_address "$name")
    entries+=("$(printf '{"name":"%s","service":"%s","domain":"%s","address":"%s","state":"live","fencing":"%s"}' \
        "$name" "$service" "$domain" "$address" "$fencing")")
done
instances_json=$(IFS=,; echo "{\"instances\":[${entries[*]}]}")
client --to "$list" --path /admin/instances --body "$instances_json" > /dev/null \
    || fail "the instance list rejected the upstreams"
echo "log $log, list $list, ${#upstreams[@]} upstreams"

echo "== instances"
instances=()
mapfile -t ports < <(client --free-ports 18)
for club in $clubs; do
    for domain in $(club_domains "$club"); do
        callers=127.0.0.1:${ports[0]} peers=127.0.0.1:${ports[1]} operators=127.0.0.1:${ports[2]}
        ports=("${ports[@]:3}")
        cat > "$dir/$domain.ini" <<INI
[instance]
club = $club
domain = $domain

[listen]
callers = $callers
peers = $peers
operators = $operators

[platform]
log = http://$log
list = http://$list

[security]
cluster_secret = $secret
operator_token = $token
INI
        launch "instance-$domain" medlarreeld --settings "$dir/$domain.ini"
        instances+=("$club $domain $callers $operators")
        echo "$club $domain: callers $callers, operators $operators"
    done
done
for instance in "${instances[@]}"; do
    read -r _ domain _ operators <<< "$instance"
    retry_until_success "$start_timeout_s" "health of $domain" client --to "$operators" --path /healthz
done

echo "== preset"
read -r _ _ _ operators <<< "${instances[0]}"
run_medlarctl() { # COMMAND ARGUMENTS...
    "$bin/medlarctl" "$1" --instance "$operators" --token "$token" "${@:2}"
}
retry_until_success "$start_timeout_s" "publishing the preset" run_medlarctl publish "$preset"
retry_until_success "$start_timeout_s" "activating the preset" run_medlarctl activate "$preset_name"
for instance in "${instances[@]}"; do
    read -r _ domain _ operators <<< "$instance"
    retry_until_success "$ready_timeout_s" "readiness of $domain" client --to "$operators" --path /readyz
done
echo "preset $preset_name is in force; all instances are ready"

# Sends each instance one request for each rank and each service of its club, writes
# the results to DIR/served, and fails if one was not served. ROUND keeps the
# idempotency keys of different rounds apart.
send_round() { # ROUND
    local instance club domain callers service rank line result=0 number=0
    : > "$dir/served"
    for instance in "${instances[@]}"; do
        read -r club domain callers _ <<< "$instance"
        while read -r service _; do
            for rank in status order archive; do
                number=$((number + 1))
                local extra=()
                if [ "$rank" = order ]; then
                    extra=(--body "order $number" --header "idempotency-key: $1-$number")
                fi
                line=$(client --to "$callers" --path "/$service/items/$number" \
                    --header "medlar-rank: $rank" --header "medlar-key: key-$number" \
                    "${extra[@]}" --timeout 15s) || result=1
                echo "$domain $service $rank $line" >> "$dir/served"
            done
        done < <(club_services "$club")
    done
    return "$result"
}

echo "== requests"
# Instances that are ready may still wait for the first grants of some shards.
rounds=1
end=$((SECONDS + ready_timeout_s))
until send_round "warm-up-$rounds" || [ "$SECONDS" -ge "$end" ]; do
    rounds=$((rounds + 1))
    sleep 0.2
done
echo "warm-up rounds: $rounds"
send_round counted || true
total=$(wc -l < "$dir/served")
served=$(grep -c ' status=2[0-9][0-9] ' "$dir/served" || true)
cat "$dir/served"
echo "== served by"
sed -n 's/.* upstream=\([^ -][^ ]*\) .*/\1/p' "$dir/served" | sort | uniq -c

if [ "$keep" = yes ]; then
    read -r _ domain callers operators <<< "${instances[0]}"
    cat <<TEXT
== left running in $dir
$(printf '%s\n' "${instances[@]}" | sed 's/^\([^ ]*\) \([^ ]*\) \([^ ]*\) \([^ ]*\)$/\1 \2: callers \3, operators \4/')
log $log, list $list, upstreams as answered by the list
Send a request:
  $bin/standin-client --to $callers --path /intake/items/1 --header 'medlar-key: key-1' --header 'medlar-rank: status'
Look at the owner of a key, the state and the presets:
  $bin/medlarctl owner --instance $operators intake key-1
  $bin/medlarctl status --instance $operators
  $bin/medlarctl audit --instance $operators
  $bin/standin-client --to $list --path /instances --print-body
Publish and activate a changed preset:
  $bin/medlarctl publish --instance $operators --token $token FILE
  $bin/medlarctl activate --instance $operators --token $token NAME
Freeze an upstream (ADDRESS from the list), and take the log away:
  $bin/standin-client --to ADDRESS --path /admin/faults --body '{"freeze": true}' --print-body
  $bin/standin-client --to $log --path /admin/faults --body '{"unavailable": "refuse"}' --print-body
End this run:
  scripts/run-local.sh --stop $dir
TEXT
fi
echo "served $served of $total"
[ "$served" -eq "$total" ]
