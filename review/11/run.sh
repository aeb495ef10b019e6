#!/bin/bash
# Case 11: a machine is lost for good during a rolling restart. See claim.txt.
set -u
source "$(dirname "$0")/../lib-3.sh"

mapfile -t port < <("$standin" ports 18)
store=${port[16]} worker=${port[17]}

mkdir -p "$work/objects/config" "$work/objects/servers"
cat > "$work/objects/config/main.json" <<'C'
{"Version":7,
 "Services":[{"Name":"wuno96b","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":6.6}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"cuka620","ApiKeys":["nn2ctnfzs989anu6wsjn"],"Priority":1,"RatePerS":81,"Burst":81}],
 "VirtualHosts":[{"Host":"jepu9.example","Paths":[{"Name":"r-a6u6sz9","PathPrefix":"/puka111/","RouteType":"safe","TimeoutMs":1200,"TargetLatencyMs":600,"Priority":1,"Service":"wuno96b","MaxAttempts":2}]}]}
C
cat > "$work/objects/servers/i-7f3a91c2.json" <<C
{"Service":"wuno96b","Address":"127.0.0.1:$worker","Zone":"serra-norte","Version":"v1","MaxConcurrency":6,"State":"ready","WarmupLeftMs":0,"Sequence":4,"born":1790000000000}
C
start "$standin" store "$store" "$work/objects"
start "$standin" worker "$worker" i-7f3a91c2 "$work/runs"
cd "$repo" || give_up "no repository"

# Hosts 0 to 2 are the fleet; host 3 is the new machine, with other addresses.
hosts=()
for i in 0 1 2 3; do
    settings "$work/host$i.ini" "edge-$i" "${port[i * 4]}" "${port[i * 4 + 1]}" "${port[i * 4 + 2]}" "${port[i * 4 + 3]}" "$store"
done
begun=$(date +%s%N)
say() { note "$(($(($(date +%s%N) - begun)) / 1000000)) ms: $*"; }
start_host() {
    PIMENTOSTAGE_CONFIG=$work/host$1.ini start target/pimentostage-entry
    hosts[$1]=$last
    say "edge-$1 starts"
}

# ask COUNT NAME HOST...: requests with the tenant's key at the hosts in turn; $served of them succeed
ask() {
    local count=$1 name=$2 i
    shift 2
    local fronts=("$@")
    : > "$work/answers"
    for ((i = 0; i < count; i++)); do
        printf 'GET /puka111/%s HTTP/1.1\r\nHost: jepu9.example\r\nPimentostage-Request-Id: %s-%d\r\nPimentostage-Deadline-Ms: 2000\r\nPimentostage-Key: nn2ctnfzs989anu6wsjn\r\nConnection: close\r\n\r\n' \
            "$name" "$name" "$i" > "$work/request"
        "$standin" send "${port[fronts[i % ${#fronts[@]}] * 4]}" "$work/request" "$work/answers" 2000
        sleep 0.1
    done
    served=$(grep -c 'HTTP/1.1 200' "$work/answers")
    say "$name: $count requests sent, $served served; status lines:"
    grep 'HTTP/1.1' "$work/answers" | sort | uniq -c >> "$record"
}

for i in 0 1 2; do start_host "$i"; done
for i in 0 1 2; do wait_ready "${port[i * 4 + 1]}"; done
sleep 3
ask 30 before 0 1 2
[[ $served -ge 27 ]] || give_up "the requests before the disruption were not served"

# A rolling restart: one machine each 1.3 s; each process is started again 0.5 s after its end.
ended=()
due() { [[ $(($(date +%s%N) - roll)) -ge $(($1 * 1000000)) ]]; }
roll=$(date +%s%N)
termed=0 lost=0 added=0
state=(up up up)
while true; do
    if [[ $termed -lt 3 ]] && due $((termed * 1300)); then
        say "edge-$termed gets SIGTERM"
        kill -TERM "${hosts[termed]}"
        state[$termed]=stopping
        termed=$((termed + 1))
    fi
    for i in 0 1 2; do
        if [[ ${state[i]} == stopping ]] && ! kill -0 "${hosts[i]}" 2>/dev/null; then
            say "edge-$i has ended"
            state[$i]=down
            ended[$i]=$(date +%s%N)
        fi
        if [[ ${state[i]} == down && $(($(date +%s%N) - ended[i])) -ge 500000000 ]]; then
            start_host "$i"
            state[$i]=back
        fi
    done
    # The first machine is lost once its new process holds a role.
    if [[ $lost == 0 && ${TROUBLE:-1} != 0 && ${state[0]} == back ]] \
        && grep -q '"role-gained"' "$work/out.5" 2>/dev/null; then
        kill -KILL "${hosts[0]}"
        wait "${hosts[0]}" 2>/dev/null
        say "edge-0 is removed for good"
        lost=$(date +%s%N)
        state[0]=gone
    fi
    if [[ $lost != 0 && $added == 0 && $(($(date +%s%N) - lost)) -ge 2000000000 ]]; then
        start_host 3
        added=1
    fi
    [[ ${state[1]} == back && ${state[2]} == back && (${TROUBLE:-1} == 0 || $added == 1) ]] && break
    due 20000 && give_up "the restart did not end"
    sleep 0.02
done
fleet=(0 1 2)
[[ ${TROUBLE:-1} != 0 ]] && fleet=(3 1 2)
sleep 2

say "all processes are killed"
for i in "${fleet[@]}"; do
    kill -KILL "${hosts[i]}"
    wait "${hosts[i]}" 2>/dev/null
done
sleep 0.8
for i in "${fleet[@]}"; do start_host "$i"; done
sleep 15
ask 60 after "${fleet[@]}"
note "the last lines of the hosts on roles:"
grep -h '"role-' "$work"/out.* | sort | tail -4 | cut -c1-200 >> "$record"
[[ $((served * 4)) -ge 60 ]]
