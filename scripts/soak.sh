#!/usr/bin/env bash
# Replays a long trace against the local fleet while faults come at random from
# a seed. All promises that a caller or a stand-in can see are checked by the
# replay; memory and goroutines of the instances go to OUTDIR/resources.csv.
# Usage: scripts/soak.sh DEPLOYMENT RATE SECONDS SEED OUTDIR
set -uo pipefail
cd "$(dirname "$0")/.."
fleet=${FLEET_DIR:-.fleet} network=${FLEET_NETWORK:-20}
deployment=$1 rate=$2 seconds=$3 seed=$4 out=$5
mkdir -p "$out"
export DOTTERELLINK_ADDRESS=127.$network.1.1:8081,127.$network.1.2:8081,127.$network.1.3:8081,127.$network.1.4:8081 DOTTERELLINK_TOKEN=fleet-operator
platform=http://127.$network.0.1:7000
cli=$fleet/bin/dotterellink
./scripts/fleet-start.sh --deployment "$deployment" --rate "$rate" > "$out/start.log" || exit 1
"$cli" trace --deployment "$deployment" --rate "$rate" --duration "${seconds}s" --seed "$seed" > "$out/trace.jsonl"
against=()
for i in 1 2 3 4 5 6 7; do against+=(--against "127.$network.1.$i:8080"); done
"$cli" replay "$out/trace.jsonl" "${against[@]}" --seed "$seed" --min-worst -1 --max-wrongful -1 \
  --html "$out/report.html" --json "$out/report.json" > "$out/report.txt" 2> "$out/progress.log" &
replay=$!

RANDOM=$seed
log() { echo "$(date -u +%H:%M:%S) $*" | tee -a "$out/faults.log"; }
pid_of() { awk -v name="$1" '$2 == name {print $1}' $fleet/pids; }
faults() { curl -fsS -o /dev/null -X PUT -d "$1" "$platform/stand-in/faults"; }
restart() { # NAME: starts the process again with its own arguments
  local name=$1 program args
  read -r _ program args < <(grep "^$name " $fleet/commands)
  # shellcheck disable=SC2086  # the arguments hold no spaces
  "$fleet/bin/$program" $args >> "$fleet/$name.log" 2>&1 &
  sed -i "/ $name\$/d" $fleet/pids
  echo "$! $name" >> $fleet/pids
}
resources() {
  for i in 1 2 3 4 5 6 7; do
    curl -fsS -m 2 "http://127.$network.1.$i:8081/metrics" 2> /dev/null |
      awk -v t="$SECONDS" -v i="$i" '/^process_resident_memory_bytes/ {m = $2} /^go_goroutines/ {g = $2} END {if (m) printf "%d,instance-%d,%.1f,%d\n", t, i, m / 1048576, g}' >> "$out/resources.csv"
  done
}
echo "seconds,instance,resident_mb,goroutines" > "$out/resources.csv"
instance() { echo "instance-$((1 + RANDOM % 7))"; }
engine() { echo "127.$network.2.$((1 + RANDOM % 9)):9000"; }
zones=(zone-a zone-b zone-c)
while kill -0 "$replay" 2> /dev/null && [ "$SECONDS" -lt "$seconds" ]; do
  resources
  case $((RANDOM % 9)) in
    0) n=$(instance); log "kill $n"; kill -KILL "$(pid_of "$n")"; sleep $((2 + RANDOM % 6)); restart "$n" ;;
    1) n=$(instance); d=$((1 + RANDOM % 12)); log "stop $n for $d s"; kill -STOP "$(pid_of "$n")"; sleep "$d"; kill -CONT "$(pid_of "$n")" ;;
    2) d=$((5 + RANDOM % 25)); log "platform down for $d s"; faults '{"outage":true}'; sleep "$d"; faults '{}' ;;
    3) d=$((5 + RANDOM % 15)); log "platform loses answers for $d s"; faults '{"lose_answer_share":0.3}'; sleep "$d"; faults '{}' ;;
    4) e=$(engine); log "engine $e turns cold"; curl -fsS -X POST "http://$e/stand-in/turn-cold" ;;
    5) e=$(engine); log "engine $e restarts"; curl -fsS -X POST "http://$e/stand-in/restart" ;;
    6) z=${zones[$((RANDOM % 3))]}; d=$((10 + RANDOM % 30)); log "$z out for $d s"; "$cli" zone out "$z" > /dev/null; sleep "$d"; "$cli" zone return "$z" > /dev/null ;;
    7) n=$(instance); log "planned stop of $n"; p=$(pid_of "$n"); kill -TERM "$p"; for _ in $(seq 600); do kill -0 "$p" 2> /dev/null || break; sleep 0.1; done; restart "$n" ;;
    8) z=${zones[$((RANDOM % 3))]}; d=$((4 + RANDOM % 10)); log "$z cut from the platform for $d s"; faults "{\"cut_zones\":[\"$z\"]}"; sleep "$d"; faults '{}' ;;
  esac
  sleep $((4 + RANDOM % 10))
done
faults '{}'
for z in "${zones[@]}"; do "$cli" zone return "$z" > /dev/null 2>&1; done
wait "$replay"
verdict=$?
resources
./scripts/fleet-stop.sh
cat "$out/report.txt"
exit "$verdict"
