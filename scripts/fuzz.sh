#!/bin/sh
# Runs every stateful fuzz test repeatedly with new seeds for FUZZSECONDS
# (default 600). A failure prints its seed and ends the run; add the case it
# found as a test with fixed input. The output of every round goes to out/fuzz.log.
set -eu

cd "$(dirname "$0")/.."
seconds=${FUZZSECONDS:-600}
end=$(($(date +%s) + seconds))
rounds=0

# checks PACKAGE: prints the number of cases per round, set so that the packages
# take about equal time.
checks() {
  case $1 in
    admit) echo 100 ;;
    claim) echo 20000 ;;
    entry | wire) echo 5000 ;;
    group) echo 5000 ;;
    logfold) echo 500 ;;
  esac
}
mkdir -p out/fuzz
: >out/fuzz.log
for package in admit claim entry group logfold wire; do
  go test -c -o "out/fuzz/$package" "./$package"
done
while [ "$(date +%s)" -lt "$end" ]; do
  for package in admit claim entry group logfold wire; do
    [ "$(date +%s)" -lt "$end" ] || break
    (cd "$package" && FUZZ=1 "../out/fuzz/$package" -test.run '^TestFuzz' -test.skip Exhaustive -test.v -rapid.checks="$(checks "$package")") >>out/fuzz.log 2>&1 ||
      { grep -E 'rapid.seed|Error|violat' out/fuzz.log | tail -n 20; echo "FAILED in $package; see out/fuzz.log"; exit 1; }
  done
  rounds=$((rounds + 1))
done
grep -E 'OK, passed|cases|events|faults|servers down' out/fuzz.log | tail -n 40
echo "fuzz: $rounds rounds in $seconds s, no violation"
