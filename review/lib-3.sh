# Functions of the third review's scripts; to be sourced by a run.sh.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

repo=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
standin=$repo/target/review-3/standin
entry=$repo/target/pimentostage-entry
record=$(cd "$(dirname "$0")" && pwd)/record.txt
work=$(mktemp -d)
started=()
: > "$record"

end_all() {
    local pid
    for pid in "${started[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$work"
}
trap end_all EXIT

give_up() {
    echo "could not run: $1" | tee -a "$record"
    exit 2
}

[[ -x $standin && -x $entry ]] || give_up "target/pimentostage-entry or target/review-3/standin is missing"

note() { echo "$*" >> "$record"; }

# start COMMAND...: starts a process, whose id is in $last
start() {
    "$@" > "$work/out.${#started[@]}" 2>&1 &
    last=$!
    started+=("$last")
}

# settings FILE NAME FRONT READY METRICS SIBLING STORE: deploy/settings.ini with the values of a host of
# natalina-serra
settings() {
    sed -E -e '/\{\{#Bounds\.CanaryShare\}\}/,/\{\{\/Bounds\.CanaryShare\}\}/d' \
        -e 's/\{\{NodeName\}\}/'"$2"'/' -e 's/\{\{Zone\}\}/serra-norte/' \
        -e 's/\{\{Limits\.CpuShare\}\}/0.2/' \
        -e 's/\{\{BindAddresses\.FrontAddress\}\}/127.0.0.1:'"$3"'/' \
        -e 's/\{\{BindAddresses\.Readiness\}\}/127.0.0.1:'"$4"'/' \
        -e 's/\{\{Ip\}\}:9464/127.0.0.1:'"$5"'/' \
        -e 's/\{\{Ip\}\}:\{\{InternalPortRange\.0\}\}/127.0.0.1:'"$6"'/' \
        -e 's/\{\{SeedNodes\}\}/127.0.0.1:'"$6"'/' \
        -e 's/\{\{Platform\.Address\}\}/127.0.0.1:'"$7"'/' \
        -e 's/^memory_mb = .*/memory_mb = 260/' -e 's/^stop_grace_s = .*/stop_grace_s = 6/' \
        -e 's/^withdrawal_deadline_ms = .*/withdrawal_deadline_ms = 5000/' \
        -e 's/^change_deadline_ms = .*/change_deadline_ms = 2000/' \
        -e 's/^leave_deadline_ms = .*/leave_deadline_ms = 2000/' \
        -e 's/^evacuation_deadline_ms = .*/evacuation_deadline_ms = 5000/' \
        -e 's/^backend_report_ms = .*/backend_report_ms = 870/' \
        -e '/^\{\{[#\/]/d' "$repo/deploy/settings.ini" > "$1"
}

# wait_ready PORT: until the host says that it is ready
wait_ready() {
    local i answer
    for ((i = 0; i < 150; i++)); do
        if exec 3<>"/dev/tcp/127.0.0.1/$1"; then
            printf 'GET /pimentostage/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
            IFS= read -r -t 2 answer <&3
            exec 3>&-
            [[ $answer == *" 200 "* ]] && return 0
        fi 2>/dev/null
        sleep 0.1
    done
    give_up "the entry host did not become ready"
}
