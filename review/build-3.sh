#!/usr/bin/env bash
# Builds the stand-ins (review/standins-3) with the scripted cases that use them (review/N/case.go) as one program, which the
# scripts of the cases start. The program that is reviewed is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review-3/source
rm -rf "$source"
mkdir -p "$source"
cp review/standins-3/*.go "$source"
for n in 11 12; do
  cp "review/$n/case.go" "$source/case$n.go"
done
go build -o target/review-3/case "$source"/*.go
