#!/bin/sh
# Starts a front proxy with an engine and a plain backend server, compares requests
# sent directly to the engine with requests sent through the front proxy and the
# sidecar, and loads both servers through the front proxy. Arguments are passed on
# to bin/bench.
set -eu

cd "$(dirname "$0")/.."
out=${OUT:-out/bench}
rm -rf "$out"
mkdir -p "$out"
log_port=19000
list_port=19001
weights_port=19002
. scripts/processes.sh

cat >"$out/bench.ini" <<'EOF'
[service]
name = bench
format = 1
[data-centre a]
region = r
[route chat]
path = /v1/chat/completions
pool = engines
idempotent = yes
streaming = yes
[route look-up]
path = /availability
pool = plain
idempotent = yes
[backend-server a-engine]
data-centre = a
kind = engine
pool = engines
models = m
max-running = 256
[backend-server a-plain]
data-centre = a
kind = plain
pool = plain
max-running = 256
[organisation bench]
weight = 1
[routing]
policy = bounded
[placement]
policy = packed
[limits]
cold-start = 256
EOF
start engine bin/standin engine --listen "$host:19700" --step "${STEP:-2ms}" --step-per-sequence 0s --max-running 256 --tokens 64
start plain bin/standin plain --listen "$host:19701"
settings a-entry entry bench a 19100
settings a-engine side bench a 19101 19700
settings a-plain side bench a 19102 19701
platform
daemon a-entry entry
daemon a-engine side
daemon a-plain side
until bin/marjorampitch config publish --base 0 --service bench --log-service "http://$host:$log_port" "$out/bench.ini" 2>/dev/null; do sleep 0.1; done
bin/bench --engine "http://$host:19700" --entry "http://$host:19300" \
  --entry-status "http://$host:19200" --chat-status "http://$host:19201" --plain-status "http://$host:19202" "$@"
stop $daemons
