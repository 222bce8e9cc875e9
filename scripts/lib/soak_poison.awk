# Arrivals of the poison requests later than `settled` ms after the crash from
# which on they have to be known, from instances that nothing has disturbed for
# so long; at most `most`. Reads known, names, disturbed, callers.log, arrivals.
FILENAME ~ /known$/ { known = $2 }
FILENAME ~ /names$/ { name_of[$2] = $1 }
FILENAME ~ /disturbed$/ { ++count[$1]; from[$1, count[$1]] = $2; to[$1, count[$1]] = $3 }
FILENAME ~ /callers.log$/ && $2 == "sent" { sender[$4] = name_of[$5] }
FILENAME ~ /arrivals$/ && $5 == "crashes" && known && $1 > known + settled {
  ++all
  name = sender[$2]
  calm = 1
  for (i = 1; i <= count[name]; ++i) {
    if (from[name, i] <= $1 && to[name, i] > $1 - settled) calm = 0
  }
  if (calm) { ++late; print "   late: " ($1 - known) " ms after that crash, " $2 " from " name " at " $3 }
}
END {
  printf "   %d arrivals of the poison later than %d ms after that crash, %d of them from undisturbed instances\n", all, settled, late
  exit !(known && late <= most)
}
