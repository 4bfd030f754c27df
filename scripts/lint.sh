#!/usr/bin/env bash
# Formatter, vet and staticcheck; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files -co --exclude-standard '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted:" $unformatted
  exit 1
fi
go vet ./...
go tool staticcheck ./...
