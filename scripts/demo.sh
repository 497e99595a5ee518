#!/bin/sh
# Starts the stand-ins, two services with two entries and four side processes
# each in two data centres, runs the demonstration's calls against them, and
# stops everything gracefully. Exits non-zero when any step fails.
set -eu

cd "$(dirname "$0")/.."
out=${OUT:-out/demo}
rm -rf "$out"
mkdir -p "$out"
host=127.0.0.1
log_port=18000
list_port=18001
weights_port=18002
pids=""
daemons=""

# start NAME COMMAND...: runs a process in the background, its output in a file.
start() {
  name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids="$pids $!"
}

# settings NAME ROLE SERVICE DATA-CENTRE PORT [BACKEND-PORT]: writes a settings file.
settings() {
  {
    echo "[process]"
    echo "role = $2"
    echo "instance = $1"
    echo "service = $3"
    echo "data-centre = $4"
    echo "listen = $host:$5"
    echo "status = $host:$(($5 + 100))"
    if [ "$2" = entry ]; then echo "http = $host:$(($5 + 200))"; fi
    echo "drain-wait = 300ms"
    echo "[platform]"
    echo "log-service = http://$host:$log_port"
    echo "instance-list = http://$host:$list_port"
    echo "weight-store = http://$host:$weights_port"
    if [ "$2" = side ]; then
      echo "[backend-server]"
      echo "url = http://$host:$6"
    fi
    echo "[trace]"
    echo "exporter = file"
    echo "target = $out/traces.json"
  } >"$out/$1.ini"
  instances="$instances${instances:+,}
  {\"name\":\"$1\",\"address\":\"$host:$5\",\"data_centre\":\"$4\",\"role\":\"$2\",\"state\":\"live\"}"
}

# daemon NAME ROLE: starts a process of the system from its settings file.
daemon() {
  start "$1" bin/marjorampitch "$2" --settings "$out/$1.ini"
  daemons="$daemons $!"
}

# stop PIDS...: asks processes to stop and waits until they have.
stop() {
  status=0
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || status=1; done
  return $status
}

# On any exit, nothing that was started here stays behind.
cleanup() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# Services: prefix of the names, document, name of the plain servers.
instances=""
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
echo "{\"instances\":[$instances]}" >"$out/instances.json"

start log bin/standin log --listen "$host:$log_port"
start instances bin/standin instances --listen "$host:$list_port" --file "$out/instances.json"
start weights bin/standin weights --listen "$host:$weights_port"
for d in $daemon_list; do
  daemon "${d%%:*}" "${d##*:}"
done

bin/demo --host "$host" --log "http://$host:$log_port" --instances "http://$host:$list_port" \
  --plain "http://$host:18701,http://$host:18703,http://$host:18705,http://$host:18707" --traces "$out/traces.json"

echo "stopping every process gracefully"
stop $daemons || { echo "a process did not stop cleanly; see $out"; exit 1; }
echo "stopped"
