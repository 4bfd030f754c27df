#!/usr/bin/env bash
# Measures what control costs an idle instance: runs fleets of several sizes
# without callers and prints, a line a fleet, the means over the instances of
# processor share, resident memory and mesh bytes, and the platform's calls a
# second. Usage: scripts/slopes.sh SECONDS "INSTANCES ENGINES MODELS" ...
set -euo pipefail
cd "$(dirname "$0")/.."
fleet=${FLEET_DIR:-.fleet} network=${FLEET_NETWORK:-20}
seconds=$1
shift
metrics() { # NAME: the sum over all instances
  for i in $(seq "$instances"); do
    curl -fsS -m 2 "http://127.$network.1.$i:8081/metrics"
  done | awk -v n="$1" '$1 ~ "^"n"([{]|$)" {s += $2} END {printf "%.6f", s}'
}
calls() { curl -fsS http://127.$network.0.1:7000/stand-in/stats | tr -d '{}"' | tr ',' '\n' | awk -F: '$1 ~ /reads|writes|watches/ {printf "%s ", $2}'; }
echo "instances engines models | cpu_percent resident_mb mesh_bytes_per_s | platform reads/s writes/s watches/s"
for size in "$@"; do
  read -r instances engines models <<< "$size"
  ./scripts/fleet-start.sh --instances "$instances" --engines "$engines" --models "$models" > /dev/null
  sleep 8
  cpu=$(metrics process_cpu_seconds_total) bytes=$(metrics dotterellink_mesh_bytes_total)
  read -r r0 w0 x0 <<< "$(calls)"
  sleep "$seconds"
  read -r r1 w1 x1 <<< "$(calls)"
  cpu2=$(metrics process_cpu_seconds_total) bytes2=$(metrics dotterellink_mesh_bytes_total) memory=$(metrics process_resident_memory_bytes)
  awk -v i="$instances" -v e="$engines" -v m="$models" -v t="$seconds" -v a="$cpu" -v b="$cpu2" -v c="$bytes" -v d="$bytes2" -v mem="$memory" \
    -v r="$((r1 - r0))" -v w="$((w1 - w0))" -v x="$((x1 - x0))" \
    'BEGIN {printf "%d %d %d | %.3f %.1f %.0f | %.2f %.2f %.2f\n", i, e, m, 100 * (b - a) / t / i, mem / i / 1048576, (d - c) / t / i, r / t, w / t, x / t}'
  ./scripts/fleet-stop.sh > /dev/null
done
