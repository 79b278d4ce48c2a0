#!/usr/bin/env bash
# Fits value = a + b * routers by least squares to each quantity of a CSV from benchmarks/slopes.sh.
#
#   benchmarks/fit.sh CSV [ZONES]      only fleets of this many availability zones (default 3)
#
# A line for each phase and quantity: the median and range (minimum to maximum) of the repetitions at each
# size, a, b with its standard error, and the standard deviation of the values from the line.
set -euo pipefail
csv=$1
zones=${2:-3}
sort -t, -k1,1 -k5,5 -k2,2n "$csv" | awk -F, -v zones="$zones" '
  function median_of(list, count,   i, j, kept) {
    for (i = 2; i <= count; i++) {
      kept = list[i]
      for (j = i - 1; j > 0 && list[j] > kept; j--) list[j + 1] = list[j]
      list[j + 1] = kept
    }
    return count % 2 ? list[(count + 1) / 2] : (list[count / 2] + list[count / 2 + 1]) / 2
  }
  function end_size() {
    if (at_size == 0) return
    middle = median_of(values, at_size)
    shown = shown sprintf("  %d: %.4g [%.4g..%.4g]", size, middle, values[1], values[at_size])
    sizes++
    at_size = 0
  }
  function end_quantity(   mean_x, mean_y, xx, xy, yy, b, a, rest, deviation, error) {
    end_size()
    if (n == 0) return
    if (sizes < 3) {
      printf "%-8s %-28s %s\n", phase, quantity, shown
    } else {
      mean_x = sx / n; mean_y = sy / n
      xx = sxx - n * mean_x ^ 2; xy = sxy - n * mean_x * mean_y; yy = syy - n * mean_y ^ 2
      b = xy / xx; a = mean_y - b * mean_x
      rest = yy - b * xy
      if (rest < 0) rest = 0
      deviation = sqrt(rest / (n - 2)); error = deviation / sqrt(xx)
      printf "%-8s %-28s a=%.4g b=%.4g +-%.2g deviation=%.2g%s\n", phase, quantity, a, b, error, deviation, shown
    }
    n = sx = sy = sxx = sxy = syy = sizes = 0
    shown = ""
  }
  $3 != zones || $1 == "phase" { next }
  $1 != phase || $5 != quantity { end_quantity(); phase = $1; quantity = $5; size = $2 }
  $2 != size { end_size(); size = $2 }
  {
    values[++at_size] = $6
    n++; sx += $2; sy += $6; sxx += $2 * $2; sxy += $2 * $6; syy += $6 * $6
  }
  END { end_quantity() }'
