# Starts a deployment with stand-ins as separate processes on loopback; sourced by the start.sh of each example.
# The example sets DIR, DATA_CENTRES, FIRST_PORT and CALLER_KIND, calls start_log, then start_service once for each
# service, the service for callers first, and ends with finish. Memory: about 105 MB resident for each process.
# Loopback has no distance between data centres, so latencies are not those of a deployment over several.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${FILBERTSPOOL_BIN:-$ROOT/dist/filbertspool}
PIDS=()
ENTRIES=()
PEERS=()

if [ ! -x "$BIN" ]; then
    echo "$BIN: not found; run npm ci and npm run build first" >&2
    exit 1
fi

# Ends only the processes that this script started, by their ids: nodes and stand-ins get SIGTERM and 10 s.
stop_all() {
    trap - EXIT INT TERM
    [ ${#PIDS[@]} -eq 0 ] && return
    kill -TERM "${PIDS[@]}" 2>/dev/null
    for _ in $(seq 100); do
        local alive=0
        for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && alive=$((alive + 1)); done
        [ $alive -eq 0 ] && break
        sleep 0.1
    done
    kill -KILL "${PIDS[@]}" 2>/dev/null
    wait 2>/dev/null
    echo "stopped ${#PIDS[@]} processes"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# run ARGS...: starts one process of filbertspool in the background.
run() {
    "$BIN" "$@" &
    PIDS+=($!)
}

next_port() {
    PORT=$((FIRST_PORT))
    FIRST_PORT=$((FIRST_PORT + 1))
}

start_log() {
    next_port
    LOG_URL=http://127.0.0.1:$PORT
    run standin-log --listen "127.0.0.1:$PORT"
}

# start_service NAME INSTANCES SLOTS SERVICE_MS [CALLS]: nodes and targets, spread over the data centres.
start_service() {
    local name=$1 instances=$2 slots=$3 service_ms=$4 calls=${5:-}
    for i in $(seq 0 $((instances - 1))); do
        local dc=${DATA_CENTRES[$((i % ${#DATA_CENTRES[@]}))]}
        next_port; local entry=127.0.0.1:$PORT
        next_port; local peer=127.0.0.1:$PORT
        next_port; local egress=127.0.0.1:$PORT
        next_port; local target=127.0.0.1:$PORT
        run node --service "$name" --data-centre "$dc" --entry "$entry" --peer "$peer" --egress "$egress" \
            --log-url "$LOG_URL"
        run standin-target --service "$name" --listen "$target" --egress "$egress" --slots "$slots" \
            --service-ms "$service_ms" ${calls:+--calls "$calls"}
        PEERS+=("$peer")
        [ "$name" = "${ENTRY_SERVICE:=$name}" ] && ENTRIES+=("$entry")
    done
    return 0
}

join_by_comma() {
    local IFS=,
    echo "$*"
}

# Applies the file set, waits until every instance is in a view, and shows the status; then stays up until Ctrl-C.
# With --once it sends load for 5 s and ends.
finish() {
    local nodes entries tries
    nodes=$(join_by_comma "${PEERS[@]}")
    entries=$(join_by_comma "${ENTRIES[@]}")
    echo "started ${#PIDS[@]} processes: the log service, ${#PEERS[@]} nodes and ${#PEERS[@]} targets"
    for tries in $(seq 60); do
        "$BIN" status --node "${PEERS[-1]}" > /dev/null 2>&1 && break
        sleep 0.5
    done
    "$BIN" apply "$DIR" --log-url "$LOG_URL" --node "$nodes" --timeout-s 60 || exit 1
    for tries in $(seq 60); do
        ready=$("$BIN" status --node "$nodes" | grep -cw ready)
        [ "$ready" -eq ${#PEERS[@]} ] && break
        sleep 0.5
    done
    "$BIN" status --node "$nodes" || exit 1
    echo "$ready of ${#PEERS[@]} nodes ready"
    [ "$ready" -eq ${#PEERS[@]} ] || exit 1
    local load=(standin-caller --entry "$entries" --kind "$CALLER_KIND" --path /today --rate 50 --duration-s 5 --keys)
    if [ "${1:-}" = --once ]; then
        echo "load: kind $CALLER_KIND at 50 requests/s for 5 s"
        "$BIN" "${load[@]}"
        return
    fi
    echo
    echo "log service $LOG_URL; entry listeners of $ENTRY_SERVICE: $entries"
    echo "    $BIN status --node ${PEERS[0]}"
    echo "    $BIN diff $DIR --log-url $LOG_URL"
    echo "    $BIN ${load[*]}"
    echo "Ctrl-C stops it."
    wait
}
