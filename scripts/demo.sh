#!/bin/sh
# Starts the stand-ins and two services, each with two front proxies and four
# sidecars in two data centres. Runs the demonstration's requests against them
# and stops every process gracefully. Exits non-zero if any step fails.
set -eu

cd "$(dirname "$0")/.."
out=${OUT:-out/demo}
rm -rf "$out"
mkdir -p "$out"
log_port=18000
list_port=18001
weights_port=18002
trace_exporter=file
. scripts/processes.sh

# Services: prefix of the instance names, service name, and part of the names of
# the plain backend servers.
port=18100
backend=18700
daemon_list=""
for service in "dk bryllupslyd booking" "tt caroni-watch filing"; do
  set -- $service
  for dc in "${1}1" "${1}2"; do
    settings "$dc-entry" entry "$2" "$dc" $port
    daemon_list="$daemon_list $dc-entry:entry"
    port=$((port + 1))
    start "engine-$dc" bin/standin engine --listen "$host:$backend" --cold-bound 2 --warm-after 4
    settings "$dc-llm-1" side "$2" "$dc" $port $backend
    daemon_list="$daemon_list $dc-llm-1:side"
    port=$((port + 1))
    start "plain-$dc" bin/standin plain --listen "$host:$((backend + 1))"
    settings "$dc-$3-1" side "$2" "$dc" $port $((backend + 1))
    daemon_list="$daemon_list $dc-$3-1:side"
    port=$((port + 1))
    backend=$((backend + 2))
  done
done
platform
for d in $daemon_list; do
  daemon "${d%%:*}" "${d##*:}"
done

# demonstrate: publishes the service configurations and runs bin/demo.
demonstrate() {
  export MARJORAMPITCH_LOG_SERVICE="http://$host:$log_port" MARJORAMPITCH_INSTANCE_LIST="http://$host:$list_port"
  echo "== publish the two service configurations"
  until bin/marjorampitch config publish --base 0 --service bryllupslyd examples/bryllupslyd.ini 2>/dev/null; do sleep 0.1; done
  bin/marjorampitch config publish --base 0 --service caroni-watch examples/caroni-watch.ini

  bin/demo --host "$host" --log "http://$host:$log_port" \
    --plain "http://$host:18701,http://$host:18703,http://$host:18705,http://$host:18707" --traces "$out/traces.json"

  echo
  echo "== which processes have the service configurations in force"
  bin/marjorampitch config status --service bryllupslyd
  bin/marjorampitch config status --service caroni-watch
  echo
}

# STEPS: command to run in place of the demonstration, if set.
if [ -n "${STEPS:-}" ]; then
  until curl -sf "http://$host:$list_port/instances" >/dev/null && curl -s "http://$host:18200/healthz" >/dev/null; do sleep 0.1; done
  $STEPS
else
  demonstrate
fi
echo "stopping every process gracefully"
stop $daemons || { echo "a process did not stop cleanly; see $out"; exit 1; }
echo "stopped"
