# Second by second: what gateways admitted, refused and delivered late, and the phases of
# map switches meanwhile. Reads the lines of gateways and rebalancers.
#   awk -f scripts/group-seconds.awk LOG...
function value(name,    i) {
  i = match($0, " " name "=[^ ]*")
  return i ? substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) : ""
}
function second(    t) {
  t = value("time")
  sub(/^[^T]*T/, "", t)
  sub(/\..*$/, "", t)
  return t
}
function larger(a, b) { return a + 0 > b + 0 ? a + 0 : b + 0 }
/ msg=gate / {
  s = second()
  seen[s] = 1
  admitted[s] += value("admitted")
  refused[s] += value("refused")
  late[s] += value("late")
  running[s] += value("running")
  limit[s] = larger(limit[s], value("limit"))
  pause[s] = larger(pause[s], value("longest_pause_ms"))
  silent[s] = larger(silent[s], value("silent_ms"))
}
/ msg=coordinator / { s = second(); seen[s] = 1; phases[s] = phases[s] " " value("phase") }
/ msg=switch-ended / { s = second(); seen[s] = 1; phases[s] = phases[s] "(" value("outcome") ",held " value("held_ms") "ms)" }
END {
  print "second admitted refused late running limit longest_pause_ms silent_ms phases"
  n = 0
  for (s in seen) order[++n] = s
  for (i = 2; i <= n; i++)
    for (j = i; j > 1 && order[j - 1] > order[j]; j--) { s = order[j]; order[j] = order[j - 1]; order[j - 1] = s }
  for (i = 1; i <= n; i++) {
    s = order[i]
    print s, admitted[s] + 0, refused[s] + 0, late[s] + 0, running[s] + 0, limit[s] + 0, pause[s] + 0, silent[s] + 0, phases[s] ? phases[s] : "-"
  }
}
