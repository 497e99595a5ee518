#!/bin/sh
# Runs every block of docs/OPERATING.md marked "sh run", as written and in order,
# against the processes of the demonstration. Fails if any command fails.
set -eu

cd "$(dirname "$0")/.."
OUT=${OUT:-out/operating}
export OUT
# scripts/demo.sh starts and stops the processes.
STEPS="sh -eu $OUT.steps"
mkdir -p "$(dirname "$OUT")"
awk '/^ *```sh run$/ {on = 1; next} /^ *```$/ {on = 0} on {sub(/^ */, ""); print}' docs/OPERATING.md >"$OUT.steps"
test -s "$OUT.steps"
STEPS="$STEPS" scripts/demo.sh
echo "every command of docs/OPERATING.md ran as written"
