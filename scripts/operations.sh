#!/bin/sh
# Runs every block of docs/OPERATIONS.md marked "sh run", as written and in order,
# against running gateways in which requests were made to fail. Fails if any
# command fails.
set -eu

cd "$(dirname "$0")/.."
out=${OUT:-out/operations}
rm -rf "$out"
mkdir -p "$out"
awk '/^ *```sh run$/ {on = 1; next} /^ *```$/ {on = 0} on {sub(/^ */, ""); print}' docs/OPERATIONS.md >"$out.steps"
test -s "$out.steps"
bin/soak failures --out "$out" -- sh -eux "$out.steps"
echo "every command of docs/OPERATIONS.md ran as written"
