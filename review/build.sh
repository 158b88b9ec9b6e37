#!/usr/bin/env bash
# Builds the stand-ins (review/standins) with the cases that use them (review/N/case.go) as one
# program, which the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review-source
rm -rf "$source"
mkdir -p "$source"
cp review/standins/* "$source"
for n in 1 2 3 4 5; do
  cp "review/$n/case.go" "$source/case$n.go"
done
go build -o target/review-standins "$source"/*.go
