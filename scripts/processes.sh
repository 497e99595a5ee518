# Functions for scripts that start processes; to be sourced. The script sets out,
# log_port, list_port and weights_port, and optionally status_above and http_above
# (offsets of the status port and the HTTP port from a process's listen port; 100 and
# 200 by default) and trace_exporter.
host=127.0.0.1
pids=""
daemons=""
instances=""

# start NAME COMMAND...: runs a process in the background with its output in
# $out/NAME.log.
start() {
  name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids="$pids $!"
}

# settings NAME ROLE SERVICE DATA-CENTRE PORT [BACKEND-PORT]: writes the settings
# file $out/NAME.ini and adds the process to the instance list.
settings() {
  {
    echo "[process]"
    echo "role = $2"
    echo "instance = $1"
    echo "service = $3"
    echo "data-centre = $4"
    echo "listen = $host:$5"
    echo "status = $host:$(($5 + ${status_above:-100}))"
    if [ "$2" = entry ]; then echo "http = $host:$(($5 + ${http_above:-200}))"; fi
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
    echo "exporter = ${trace_exporter:-none}"
    if [ "${trace_exporter:-none}" = file ]; then echo "target = $out/traces.json"; fi
  } >"$out/$1.ini"
  instances="$instances${instances:+,}
  {\"name\":\"$1\",\"address\":\"$host:$5\",\"data_centre\":\"$4\",\"role\":\"$2\",\"state\":\"live\"}"
}

# platform: starts the stand-ins for the external services of the roles entry and
# side (package backing): the log service, the instance list and the weight store.
platform() {
  echo "{\"instances\":[$instances]}" >"$out/instances.json"
  start log bin/standin log --listen "$host:$log_port"
  start instances bin/standin instances --listen "$host:$list_port" --file "$out/instances.json"
  start weights bin/standin weights --listen "$host:$weights_port"
}

# daemon NAME ROLE: starts a marjorampitch process with its settings file.
daemon() {
  start "$1" bin/marjorampitch "$2" --settings "$out/$1.ini"
  daemons="$daemons $!"
}

# stop PID...: sends SIGTERM to the processes and waits for them. Returns 1 if any
# of them failed.
stop() {
  status=0
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || status=1; done
  return $status
}

# cleanup: kills the processes started here, on any exit.
cleanup() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT
trap 'exit 1' INT TERM
