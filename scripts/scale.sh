#!/bin/sh
# Starts ENTRIES front proxies and SIDES sidecars without load and prints their
# resource use. At most a few hundred processes.
# Usage: scripts/scale.sh ENTRIES SIDES [SUBSET]
# SUBSET is the maximum number of sidecars that each front proxy connects to; 0, the
# default, means all.
set -eu

cd "$(dirname "$0")/.."
entries=$1
sides=$2
subset=${3:-0}
out=${OUT:-out/scale}
rm -rf "$out"
mkdir -p "$out"
log_port=20000
list_port=20001
weights_port=20002
first=20100
. scripts/processes.sh

# Offsets of the status port and the HTTP port from a process's listen port.
status_above=1000
http_above=2000

{
  printf '[service]\nname = scale\nformat = 1\n'
  for dc in 0 1 2; do printf '[data-centre dc%d]\nregion = r\n' $dc; done
  printf '[route chat]\npath = /v1/chat/completions\npool = engines\nidempotent = yes\nstreaming = yes\n'
  i=0
  while [ $i -lt "$sides" ]; do
    printf '[backend-server llm-%d]\ndata-centre = dc%d\nkind = engine\npool = engines\nmodels = m\nmax-running = 64\n' $i $((i % 3))
    i=$((i + 1))
  done
  printf '[organisation o]\nweight = 1\n[routing]\npolicy = bounded\nsubset = %d\n[placement]\npolicy = packed\n[limits]\ncold-start = 2\n' "$subset"
} >"$out/scale.ini"

start engines bin/standin engine --listen "$host:24000" --count "$sides"
i=0
while [ $i -lt "$entries" ]; do
  settings "entry-$i" entry scale "dc$((i % 3))" $((first + i))
  i=$((i + 1))
done
i=0
while [ $i -lt "$sides" ]; do
  settings "llm-$i" side scale "dc$((i % 3))" $((first + entries + i)) $((24000 + i))
  i=$((i + 1))
done
platform
i=0
while [ $i -lt "$entries" ]; do daemon "entry-$i" entry; i=$((i + 1)); done
i=0
while [ $i -lt "$sides" ]; do daemon "llm-$i" side; i=$((i + 1)); done
until bin/marjorampitch config publish --base 0 --service scale --log-service "http://$host:$log_port" "$out/scale.ini" >/dev/null 2>&1; do sleep 0.1; done
bin/scale --first $((first + status_above)) --entries "$entries" --sides "$sides"
stop $daemons || { echo "a process did not stop cleanly; see $out"; exit 1; }
