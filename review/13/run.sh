#!/bin/bash
# Case 13: a config without Tenants, then all processes are killed. See claim.txt.
set -u
source "$(dirname "$0")/../lib-3.sh"

mapfile -t port < <("$standin" ports 10)
store=${port[8]} worker=${port[9]}

# config VERSION TENANTS: the config's Spec; TENANTS is a field with its comma, or empty
config() {
    cat <<C
{"Version":$1,
 "Services":[{"Name":"wuno96b","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":6.6}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 $2
 "VirtualHosts":[{"Host":"jepu9.example","Paths":[{"Name":"r-a6u6sz9","PathPrefix":"/puka111/","RouteType":"safe","TimeoutMs":1200,"TargetLatencyMs":600,"Priority":1,"Service":"wuno96b","MaxAttempts":2,"Public":true}]}]}
C
}

mkdir -p "$work/objects/config" "$work/objects/servers"
config 7 '"Tenants":[{"Name":"cuka620","ApiKeys":["nn2ctnfzs989anu6wsjn"],"Priority":1,"RatePerS":81,"Burst":81}],' \
    > "$work/objects/config/main.json"
cat > "$work/objects/servers/i-7f3a91c2.json" <<C
{"Service":"wuno96b","Address":"127.0.0.1:$worker","Zone":"serra-norte","Version":"v1","MaxConcurrency":6,"State":"ready","WarmupLeftMs":0,"Sequence":4,"born":1790000000000}
C
start "$standin" store "$store" "$work/objects"
start "$standin" worker "$worker" i-7f3a91c2 "$work/runs"
cd "$repo" || give_up "no repository"
for i in 0 1; do
    settings "$work/host$i.ini" "edge-$i" "${port[i * 4]}" "${port[i * 4 + 1]}" "${port[i * 4 + 2]}" "${port[i * 4 + 3]}" "$store"
done

# start_hosts: the machines are back
start_hosts() {
    hosts=()
    for i in 0 1; do
        PIMENTOSTAGE_CONFIG=$work/host$i.ini start target/pimentostage-entry
        hosts+=("$last")
    done
}

# ask COUNT NAME: requests at both hosts in turn; the number of successes is in $served
ask() {
    local i
    : > "$work/answers"
    for ((i = 0; i < $1; i++)); do
        printf 'GET /puka111/%s HTTP/1.1\r\nHost: jepu9.example\r\nPimentostage-Request-Id: %s-%d\r\nPimentostage-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' \
            "$2" "$2" "$i" > "$work/request"
        "$standin" send "${port[i % 2 * 4]}" "$work/request" "$work/answers" 2000
        sleep 0.1
    done
    served=$(grep -c 'HTTP/1.1 200' "$work/answers")
    note "$2: $1 requests sent, $served served; status lines:"
    grep 'HTTP/1.1' "$work/answers" | sort | uniq -c >> "$record"
}

start_hosts
wait_ready "${port[1]}"
wait_ready "${port[5]}"
ask 40 before
[[ $served -ge 36 ]] || give_up "the requests before the disruption were not served"

# The operator writes the next config: the last tenant has left.
tenants=''
[[ ${TROUBLE:-1} == 0 ]] && tenants='"Tenants":[],'
body="{\"Metadata\":{\"Name\":\"main\"},\"Spec\":$(config 9 "$tenants")}"
printf 'PUT /pimentostage/objects/config/main HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "${#body}" "$body" > "$work/change"
note "the operator writes version 9 of the config, ${tenants:-without Tenants}"
"$standin" send "$store" "$work/change" "$work/ack" 700
grep -q 'HTTP/1.1 200' "$work/ack" || give_up "the store did not take the config"
sleep 5
ask 20 changed

note "all processes are killed, and start again 0.8 s later"
for host in "${hosts[@]}"; do
    kill -KILL "$host"
    wait "$host" 2>/dev/null
done
sleep 0.8
start_hosts
sleep 15
ask 80 after
for host in "${hosts[@]}"; do
    kill -0 "$host" 2>/dev/null || note "an entry process has ended"
done
note "log of a host:"
grep -h -E 'parse|reject|malformed|usable|"object":"platform' "$work"/out.[4-5] | cut -c1-240 | sort | uniq | head -5 >> "$record"
[[ $((served * 4)) -ge 80 ]]
