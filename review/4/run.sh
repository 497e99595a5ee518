#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# plays the same without the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
record=review/4/record.txt
for program in target/marjorampitch out/review/storedrill; do
  [ -x "$program" ] || { echo "could not run: $program is missing" | tee "$record"; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -s TERM -k 8 110 out/review/storedrill -record "$record" -trouble="$trouble" 
status=$?
case $status in 0 | 1) exit $status ;; esac
exit 2
