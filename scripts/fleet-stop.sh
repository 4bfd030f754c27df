#!/usr/bin/env bash
# Ends the processes that fleet-start.sh started, and no others.
set -uo pipefail
cd "$(dirname "$0")/.."
pids=${FLEET_DIR:-.fleet}/pids
[ -s "$pids" ] || { echo "no fleet is started"; exit 0; }
while read -r pid _; do
  kill -TERM "$pid" 2> /dev/null
done < "$pids"
while read -r pid _; do
  for _ in $(seq 100); do
    kill -0 "$pid" 2> /dev/null || break
    sleep 0.1
  done
done < "$pids"
rm -f "$pids"
echo "fleet stopped"
