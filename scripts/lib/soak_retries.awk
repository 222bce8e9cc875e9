# Arrivals at a service beyond the first of each request, in any window, against
# `share` of the requests for it, in that window, in the one before it or in the
# one half a window before it, whichever has most, plus `fixed`.
# Reads callers.log, arrivals, both in the order of time.
function sent_until(service, time,    low, high, middle) { # by binary search
  low = 0
  high = sent_count[service]
  while (low < high) {
    middle = int((low + high + 1) / 2)
    if (sent[service, middle] <= time) low = middle; else high = middle - 1
  }
  return low
}
function requests_in(service, from, to) { return sent_until(service, to) - sent_until(service, from) }
function max(one, other) { return one > other ? one : other }
FILENAME ~ /callers.log$/ && $2 == "sent" {
  service = $3 == "call" ? "plain" : "models"
  sent[service, ++sent_count[service]] = $1
}
FILENAME ~ /arrivals$/ && seen[$2, $4]++ { retry[$4, ++retry_count[$4]] = $1 }
FILENAME ~ /arrivals$/ { ++arrived }
END {
  for (service in retry_count) {
    worst = -1e9
    first = 1
    for (i = 1; i <= retry_count[service]; ++i) {
      at = retry[service, i]
      while (retry[service, first] <= at - window) ++first
      requests = max(requests_in(service, at - window, at),
        max(requests_in(service, at - 1.5 * window, at - 0.5 * window), requests_in(service, at - 2 * window, at - window)))
      over = i - first + 1 - (share * requests + fixed)
      if (over > worst) { worst = over; most = i - first + 1; allowed = share * requests + fixed }
    }
    printf "   %s: %d retries in all, at most %d in a window in which %d are allowed\n", service, retry_count[service], most, allowed
    broken += worst > 0
  }
  exit !(arrived && !broken)
}
