#!/usr/bin/env bash
# Replays the same traces against the baseline policies and the default ones,
# seed by seed, and prints a line a run. Usage:
#   scripts/compare.sh DEPLOYMENT RATE DURATION OUTDIR [SEED...]
set -euo pipefail
cd "$(dirname "$0")/.."
fleet=${FLEET_DIR:-.fleet} network=${FLEET_NETWORK:-20}
deployment=$1 rate=$2 duration=$3 out=$4
shift 4
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=(1 2 3)
mkdir -p "$out"
export DOTTERELLINK_ADDRESS=127.$network.1.1:8081 DOTTERELLINK_TOKEN=fleet-operator
against=()
for i in 1 2 3 4 5 6 7; do against+=(--against "127.$network.1.$i:8080"); done
for seed in "${seeds[@]}"; do
  for policy in ${POLICIES:-baseline default}; do
    flag=()
    [ "$policy" = baseline ] && flag=(--baseline)
    ./scripts/fleet-start.sh --deployment "$deployment" --rate "$rate" "${flag[@]}" > "$out/start.log"
    sleep 3
    cli=$fleet/bin/dotterellink
    "$cli" trace --deployment "$deployment" --rate "$rate" --duration "$duration" --seed "$seed" > "$out/trace.jsonl" 2> /dev/null
    name="$out/$deployment-$rate-$policy-$seed"
    "$cli" replay "$out/trace.jsonl" "${against[@]}" --seed "$seed" --html "$name.html" --json "$name.json" > "$name.txt" 2> "$name.err" || true
    ./scripts/fleet-stop.sh > /dev/null
    printf '%s rate %s seed %s %-8s ' "$deployment" "$rate" "$seed" "$policy"
    awk '/^attainment/ {printf "attainment %s ", $2} /^worst account/ {printf "worst %s ", $5} /^refused inside/ {printf "wrongful %s overload %s ", $5, $9} /^moves/ {printf "moves %s ", $2} /^prompt/ {printf "cached %s ", $4} /^MISSED/ {printf "[%s] ", $0} END {print ""}' "$name.txt"
  done
done
