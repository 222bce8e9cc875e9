# Arrivals of the poison request later than `settled` ms after its third crash,
# from instances that nothing has disturbed for so long; at most `most`.
# Reads third, names, disturbed, callers.log, arrivals.
FILENAME ~ /third$/ { third = $2 }
FILENAME ~ /names$/ { name_of[$2] = $1 }
FILENAME ~ /disturbed$/ { ++count[$1]; from[$1, count[$1]] = $2; to[$1, count[$1]] = $3 }
FILENAME ~ /callers.log$/ && $2 == "sent" { sender[$4] = name_of[$5] }
FILENAME ~ /arrivals$/ && $5 == "crashes" && third && $1 > third + settled {
  ++all
  name = sender[$2]
  calm = 1
  for (i = 1; i <= count[name]; ++i) {
    if (from[name, i] <= $1 && to[name, i] > $1 - settled) calm = 0
  }
  if (calm) { ++late; print "   late: " ($1 - third) " ms after the third crash, " $2 " from " name " at " $3 }
}
END {
  printf "   %d arrivals of the poison later than %d ms after its third crash, %d of them from undisturbed instances\n", all, settled, late
  exit !(third && late <= most)
}
