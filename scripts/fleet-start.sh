#!/usr/bin/env bash
# Starts a local fleet on loopback: 7 instances in three zones with stand-ins,
# each a process of its own. Process ids go to .fleet/pids. Arguments go to
# "dotterellink-standin layout", for example --deployment celula --rate 20.
# FLEET_DIR and FLEET_NETWORK let several fleets run side by side.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${FLEET_DIR:-.fleet} network=${FLEET_NETWORK:-20}
if [ -s "$dir/pids" ]; then
  echo "a fleet is already started; run make fleet-stop first" >&2
  exit 1
fi
mkdir -p "$dir"
go build -o "$dir/bin/" ./cmd/...
"$dir/bin/dotterellink-standin" layout --dir "$dir" --network "$network" "$@" > "$dir/commands"
while read -r name program args; do
  # shellcheck disable=SC2086  # the arguments hold no spaces
  "$dir/bin/$program" $args > "$dir/$name.log" 2>&1 &
  echo "$! $name" >> "$dir/pids"
done < "$dir/commands"
export DOTTERELLINK_ADDRESS=127.$network.1.1:8081 DOTTERELLINK_TOKEN=fleet-operator
cli="$dir/bin/dotterellink"
for _ in $(seq 50); do
  "$cli" status > /dev/null 2>&1 && break
  sleep 0.1
done
"$cli" environment trial "$dir/environment.json" > "$dir/trial"
"$cli" environment promote "$(awk '$1 == "trial" {print $2}' "$dir/trial")"
account=$("$cli" account list | awk 'NR == 2 {print $1}')
"$cli" key create --account "$account"
echo "callers:   http://127.$network.1.1:8080 to http://127.$network.1.7:8080"
echo "operators: export DOTTERELLINK_ADDRESS=$DOTTERELLINK_ADDRESS DOTTERELLINK_TOKEN=$DOTTERELLINK_TOKEN"
echo "logs:      $dir/*.log"
