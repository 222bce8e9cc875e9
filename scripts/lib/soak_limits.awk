# Arrivals at a target in any 4 s in which it named one limit, from `settled` ms
# after it first did, from instances that nothing has disturbed for so long. A
# target names its limit in replies, so first with the first arrival after it was
# set.
# Reads limits, names, disturbed, callers.log, arrivals in the order of time.
FILENAME ~ /limits$/ { ++n[$2]; at[$2, n[$2]] = $1; limit[$2, n[$2]] = $3 }
FILENAME ~ /names$/ { name_of[$2] = $1 }
FILENAME ~ /disturbed$/ { ++count[$1]; from[$1, count[$1]] = $2; to[$1, count[$1]] = $3 }
FILENAME ~ /callers.log$/ && $2 == "sent" { sender[$4] = name_of[$5] }
FILENAME ~ /arrivals$/ && n[$3] {
  target = $3
  for (now = n[target]; now > 0 && at[target, now] > $1; --now);
  if (now == 0 || limit[target, now] == "-") { named[target] = 0; next }
  if (!named[target]) named[target] = $1
  if ($1 < named[target] + settled || $1 < at[target, now] + settled) next
  name = sender[$2]
  for (i = 1; i <= count[name]; ++i) {
    if (from[name, i] <= $1 && to[name, i] > $1 - settled) next
  }
  period = target SUBSEP now
  time[period, ++got[period]] = $1
  if (!first[period]) first[period] = 1
  while (time[period, first[period]] <= $1 - 4000) ++first[period]
  here = got[period] - first[period] + 1
  over = here - (6 * limit[target, now] + 5)
  ++all
  if (over > worst || all == 1) { worst = over; text = here " at " target ", which named " limit[target, now] }
}
END {
  printf "   %d arrivals at limited targets; the most in 4 s: %s\n", all, text
  exit !(all && worst <= 0)
}
