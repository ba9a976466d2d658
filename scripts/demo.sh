#!/usr/bin/env bash
# The whole path, in separate processes: three entries in two data centres, six workers in racks, settings, short
# requests, a gang, a guarantee reclaimed from a borrower, a graceful end. Exits non-zero when any step is not as
# expected, and leaves no process or file behind. BEECHHOLLOW_PROFILE=release uses a release build.
set -euo pipefail
cd "$(dirname "$0")/.."

profile=${BEECHHOLLOW_PROFILE:-dev}
cargo build --quiet --locked --profile "$profile" -p beechhollow -p beechctl -p bh-testkit
target=${CARGO_TARGET_DIR:-target}
if [ "$profile" = dev ]; then bin="$target/debug"; else bin="$target/$profile"; fi
bin=$(cd "$bin" && pwd)

folder=$(mktemp -d)
pids=()
finish() {
    status=$?
    trap - EXIT
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ "$status" -ne 0 ]; then
        printf '\nthe demo failed with status %s; the ends of the logs:\n' "$status"
        tail -n 15 "$folder"/*.log 2>/dev/null || true
    fi
    rm -rf "$folder"
    exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

step() { printf '\n== %s\n' "$1"; }
fail() { printf 'not as expected: %s\n' "$1"; exit 1; }
# expect TEXT PATTERN: shows the text, which must match the pattern.
expect() {
    printf '%s\n' "$1" | sed 's/^/   /'
    printf '%s\n' "$1" | grep -Eq "$2" || fail "no match for: $2"
}
# until_matches SECONDS PATTERN COMMAND...: repeats the command until its output matches.
until_matches() {
    local deadline=$((SECONDS + $1)) pattern=$2 text
    shift 2
    while :; do
        text=$("$@" 2>&1) || true
        if printf '%s\n' "$text" | grep -Eq "$pattern"; then
            printf '%s\n' "$text" | sed 's/^/   /'
            return 0
        fi
        [ "$SECONDS" -lt "$deadline" ] || { printf '%s\n' "$text"; fail "within the time: $pattern"; }
        sleep 0.1
    done
}

read -r -a ports <<<"$("$bin/bh-worker" --free-ports 6)"
export BEECHHOLLOW_TOKEN=demo-administrator
digest=$(printf %s "$BEECHHOLLOW_TOKEN" | "$bin/beechctl" token hash)
head -c 48 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$folder/peer.key"

step "Start three entries: two in data centre ulemiste, one in kadaka"
names=(ulemiste-1 ulemiste-2 kadaka-1)
centres=(ulemiste ulemiste kadaka)
for i in 0 1 2; do
    {
        printf 'name: %s\ndata_folder: %s\npeer_key_file: %s\nbootstrap_token_sha256: %s\nentries:\n' \
            "${names[i]}" "$folder/${names[i]}" "$folder/peer.key" "$digest"
        for j in 0 1 2; do
            printf '  - {name: %s, data_centre: %s, http_address: "127.0.0.1:%s", peer_address: "127.0.0.1:%s", disk: true}\n' \
                "${names[j]}" "${centres[j]}" "${ports[j]}" "${ports[j + 3]}"
        done
    } >"$folder/${names[i]}.yaml"
    expect "$("$bin/beechhollow" check-config "$folder/${names[i]}.yaml")" 'is valid'
    "$bin/beechhollow" run --config "$folder/${names[i]}.yaml" 2>"$folder/${names[i]}.log" &
    pids+=($!)
done
entry=("127.0.0.1:${ports[0]}" "127.0.0.1:${ports[1]}" "127.0.0.1:${ports[2]}")
for address in "${entry[@]}"; do until_matches 20 '^ready' curl -s "http://$address/readyz"; done
ctl() { "$bin/beechctl" --entry "${entry[0]}" "$@"; }

step "Operators apply settings and read back what is in force"
cat >"$folder/settings.yaml" <<SETTINGS
system:
  administrator_tokens_sha256: [$digest]
  policy: {checkpoint_wait_ms: 300}
teams:
  kaupluse:
    shapes:
      reconciliation: {tasks: 4, accelerators_per_task: 4, adjacent: rack}
      small: {tasks: 1, accelerators_per_task: 8, adjacent: worker}
    request_types:
      receipt: {priority: 6, idempotent: true, deadline_ms: 3000}
      booking: {priority: 6, idempotent: false, deadline_ms: 3000, max_body_bytes: 1000}
      batch: {priority: 3, deadline_ms: 5000}
    customers:
      grocer: {weight: 2, guarantees: [{shape: reconciliation, count: 1, data_centre: ulemiste}]}
      bakery: {}
SETTINGS
expect "$(ctl settings check "$folder/settings.yaml")" 'is valid'
expect "$(ctl settings apply "$folder/settings.yaml")" 'accepted as revision 1'
until_matches 5 'kadaka-1 +kadaka +1 +.*up to date' ctl settings in-force
sed 's/count: 1/cuont: 1/' "$folder/settings.yaml" >"$folder/wrong.yaml"
wrong=$(ctl settings check "$folder/wrong.yaml" 2>&1) && fail "a wrong file passes"
expect "$wrong" 'did you mean `count`'

step "Six workers in three racks announce themselves; nobody lists them"
for i in 1 2 3 4 5 6; do
    if [ "$i" -le 4 ]; then centre=ulemiste; ask="${entry[0]},${entry[1]}"; else centre=kadaka; ask=${entry[2]}; fi
    "$bin/bh-worker" --name "worker-$i" --data-centre "$centre" --rack "rack-$(((i + 1) / 2))" --entries "$ask" \
        >"$folder/worker-$i.log" 2>&1 < <(exec sleep 300) &
    pids+=($!)
done
until_matches 15 'worker-4 .*(ulemiste-1|ulemiste-2)' ctl target list
until_matches 15 'worker-6 .*kadaka-1' ctl target list --data-centre kadaka

step "A short request through any entry reaches a worker, and the whole answer comes back"
for address in "${entry[@]}"; do
    expect "$(curl -s -i --data 'till 4: 12.50' "http://$address/v1/customers/grocer/requests/receipt" | tr -d '\r')" 'ran: till 4'
done

step "A non-idempotent request that is resent elsewhere runs once and gets its first answer again"
first=$(curl -s -H 'idempotency-key: b-17' --data 'book 17' "http://${entry[0]}/v1/customers/grocer/requests/booking")
again=$(curl -s -H 'idempotency-key: b-17' --data 'book 17' "http://${entry[2]}/v1/customers/grocer/requests/booking")
expect "$first" 'ran: book 17'
[ "$first" = "$again" ] || fail "the resend got another answer: $again"

step "Refusals are numbered and say whether the request ran"
expect "$(curl -s --data x "http://${entry[0]}/v1/customers/nobody/requests/receipt")" '"code":110.*"ran":"no"'
expect "$(curl -s --data x "http://${entry[0]}/v1/customers/grocer/requests/nothing")" '"code":111.*"ran":"no"'
expect "$(head -c 2000 /dev/zero | curl -s --data-binary @- "http://${entry[0]}/v1/customers/grocer/requests/booking")" '"code":104.*"ran":"no"'
smuggled() {
    exec 3<>"/dev/tcp/127.0.0.1/${ports[0]}"
    printf 'POST /v1/customers/grocer/requests/receipt HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' >&3
    timeout 5 cat <&3
    exec 3>&-
}
expect "$(smuggled | tr -d '\r')" '"code":102.*"ran":"no"'

step "A gang of four tasks with adjacent accelerators is prepared, decided, started and followed to its end"
expect "$(ctl job submit --customer grocer --shape reconciliation --type batch --declared-ms 1000 --payload run_ms=800)" 'job 1 in'
expect "$(ctl job status 1 --customer grocer --wait-running)" 'running'
expect "$(ctl job status 1 --customer grocer --wait)" 'done'

step "A borrower fills the data centre; the guaranteed customer asks, and gets its accelerators back"
for i in 1 2 3 4; do ctl job submit --customer bakery --shape small --type batch --declared-ms 60000 --payload run_ms=60000 >/dev/null; done
until_matches 10 '^ *5 +bakery.*running' ctl job list --customer bakery
expect "$(ctl job submit --customer grocer --shape reconciliation --type batch --declared-ms 1000 --payload run_ms=1500)" 'job 6 in'
expect "$(ctl job status 6 --customer grocer --wait-running)" 'running'
expect "$(ctl job list --customer bakery)" 'queued.*(stopped|waits)'
expect "$(ctl job status 6 --customer grocer --wait)" 'done'
expect "$(ctl job cancel 2 3 4 5 --customer bakery)" 'cancelled \[2,3,4,5\]'

step "State is read back: fragmentation, error-budget burn, status"
expect "$(ctl report fragmentation)" 'ulemiste: .* 1 guaranteed shapes, 0 without hardware'
expect "$(ctl report burn)" 'grocer +receipt'
expect "$(ctl status)" 'jobs/ulemiste'

step "SIGTERM ends an entry gracefully: a request in progress is answered, and the exit status is 0"
victim=${pids[1]}
for i in 1 2 3 4; do
    curl -s -X POST -d '{"delay_ms":900}' "http://$(head -n 1 "$folder/worker-$i.log")/faults" >/dev/null
done
curl -s --data 'last one' "http://${entry[1]}/v1/customers/grocer/requests/receipt" >"$folder/last.out" &
last=$!
sleep 0.2
kill -TERM "$victim"
wait "$last"
expect "$(cat "$folder/last.out")" 'ran: last one'
wait "$victim" || fail "the entry ended with status $?"
printf '   entry ulemiste-2 ended with status 0\n'
until_matches 10 'ulemiste-2 .*silent' ctl settings in-force

printf '\nall steps as expected\n'
