#!/usr/bin/env bash
# Starts a local fleet on loopback: 7 instances in three zones with stand-ins,
# each a process of its own. Process ids go to .fleet/pids.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=.fleet
if [ -s "$dir/pids" ]; then
  echo "a fleet is already started; run make fleet-stop first" >&2
  exit 1
fi
mkdir -p "$dir"
go build -o "$dir/bin/" ./cmd/...
"$dir/bin/dotterellink-standin" layout --dir "$dir" > "$dir/commands"
while read -r name program args; do
  # shellcheck disable=SC2086  # the arguments hold no spaces
  "$dir/bin/$program" $args > "$dir/$name.log" 2>&1 &
  echo "$!" >> "$dir/pids"
done < "$dir/commands"
operators=http://127.20.1.1:8081
for _ in $(seq 50); do
  curl -fsS -o /dev/null "$operators/metrics" 2> /dev/null && break
  sleep 0.1
done
curl -fsS -X PUT -H 'Authorization: Bearer fleet-operator' --data-binary "@$dir/environment.json" "$operators/operator/v1/environment"
curl -fsS -X POST -H 'Authorization: Bearer fleet-operator' -H 'Content-Type: application/json' -d '{"account":"celula"}' "$operators/operator/v1/keys"
echo "callers: http://127.20.1.1:8080 ... http://127.20.1.7:8080; operator token fleet-operator; logs in $dir/"
