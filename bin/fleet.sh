# Functions that start and stop a small fleet on loopback; sourced by the scripts in bin/.
# A script sets a trap to call stop_all, which stops each process that was started, by its id.

build=${build:-build}
run_folder=${run_folder:-$(mktemp -d)}
declare -A process_ids

# claim_ports: sets port_base to the first of 300 ports that no other fleet on this machine uses.
# Started processes inherit the lock's file descriptor, so the range stays locked until the last of
# them exits.
claim_ports() {
    local lock_folder=${TMPDIR:-/tmp} candidate
    for candidate in $(seq 7300 300 15100); do
        exec {ports_lock}>>"$lock_folder/pimentostage-ports-$candidate.lock"
        if flock --nonblock "$ports_lock"; then
            port_base=$candidate
            return 0
        fi
        exec {ports_lock}>&-
    done
    echo "no free port range between 7300 and 15400" >&2
    return 1
}

# render_examples: copies the examples and moves their back ends' ports into the claimed range.
render_examples() {
    local file port
    cp -r examples "$run_folder/examples"
    for file in "$run_folder"/examples/*/backend/*.json; do
        port=$(field "$file" address)
        port=${port##*:}
        sed -i "s/:$port\"/:$((port - 7300 + port_base))\"/" "$file"
    done
}

entry_port() { echo "$((port_base + 10 + $1))"; }
operator_port() { echo "$((port_base + 30 + $1))"; }
sibling_port() { echo "$((port_base + 50 + $1))"; }

# start NAME COMMAND...: runs a command in the background and logs its output to NAME.log. The
# command gets its own session, because the kernel sends SIGHUP to a stopped process when the leader
# of the script's session exits.
start() {
    local name=$1
    shift
    setsid "$@" >>"$run_folder/$name.log" 2>&1 &
    process_ids[$name]=$!
}

# stop NAME [SIGNAL]: sends a signal to a process and waits until it exits.
stop() {
    local id=${process_ids[$1]:-}
    [ -n "$id" ] || return 0
    kill "-${2:-TERM}" "$id" 2>/dev/null || true
    wait "$id" 2>/dev/null || true
    unset "process_ids[$1]"
}

stop_all() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -CONT "${process_ids[$name]}" 2>/dev/null || true
        kill -TERM "${process_ids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

ctl() {
    "$build/pimentoctl" --store="http://$store_address" "$@" >>"$run_folder/ctl.log" 2>&1
}

# wait_for URL: waits until the URL returns status 200, at most 200 attempts.
wait_for() {
    local try
    for try in $(seq 200); do
        if curl -sf --noproxy '*' -o /dev/null "$1"; then
            return 0
        fi
        sleep 0.05
    done
    echo "no answer from $1; logs are in $run_folder" >&2
    return 1
}

# field FILE NAME: prints the value of a field of a flat JSON object.
field() {
    sed -n "s/.*\"$2\": *\"\{0,1\}\([^\",}]*\).*/\1/p" "$1" | head -n 1
}

start_store() {
    start store "$build/platform-standin" --address="$store_address"
    wait_for "http://$store_address/v1/stats"
}

# register_entry NUMBER ZONE: adds an entry host to the platform's host list.
register_entry() {
    local number=$1 zone=$2 name=entry-$1
    curl -sf --noproxy '*' -o /dev/null -X PUT "http://$store_address/v1/hosts/$name" \
        -d "{\"name\":\"$name\",\"kind\":\"entry\",\"zone\":\"$zone\",\"sibling\":\"127.0.0.1:$(sibling_port "$number")\"}"
}

# start_entry NUMBER ZONE: registers and starts an entry host.
start_entry() {
    register_entry "$1" "$2"
    start_unregistered "$1" "$2"
}

# start_unregistered NUMBER ZONE: starts an entry host on its ports of the claimed range without
# registering it. host_settings and caller_settings may hold further lines of the sections [host] and
# [caller]; entry_descriptors limits the open descriptors of the process.
start_unregistered() {
    local number=$1 zone=$2 name=entry-$1
    cat >"$run_folder/$name.ini" <<INI
[host]
name = $name
zone = $zone
${host_settings:-}
[caller]
address = 127.0.0.1:$(entry_port "$number")
${caller_settings:-}
[operator]
address = 127.0.0.1:$(operator_port "$number")
[sibling]
address = 127.0.0.1:$(sibling_port "$number")
[platform]
url = http://$store_address
INI
    start "$name" bash -c "ulimit -n ${entry_descriptors:-$(ulimit -n)}; exec \"\$@\"" - \
        "$build/pimentostaged" --config="$run_folder/$name.ini"
}

wait_entry() {
    wait_for "http://127.0.0.1:$(operator_port "$1")/readyz"
}

# start_backend FILE [FLAG...]: starts the back end that an example's backend object describes.
start_backend() {
    local file=$1 name
    shift
    name=$(basename "$file" .json)
    start "$name" "$build/backend-standin" --name="$name" --address="$(field "$file" address)" \
        --zone="$(field "$file" zone)" --slots="$(field "$file" slots)" "$@"
}

# grant_keys EXAMPLE: creates and grants a key for each team of an example.
grant_keys() {
    local contract team
    mkdir -p "$run_folder/keys"
    for contract in "$run_folder"/examples/"$1"/contract/*.json; do
        team=$(basename "$contract" .json)
        od -An -N24 -tx1 /dev/urandom | tr -d ' \n' >"$run_folder/keys/$team"
        echo >>"$run_folder/keys/$team"
        ctl key grant "$team" "$team-1" <"$run_folder/keys/$team"
    done
}

# record_event NAME ARGUMENT: records an event with its time on the machine's boot clock in
# nanoseconds.
record_event() {
    awk -v event="$1 $2" '{ printf "%.0f %s\n", $1 * 1e9, event }' /proc/uptime \
        >>"$run_folder/events"
}

claim_ports
render_examples
store_address=127.0.0.1:$port_base
