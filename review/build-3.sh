#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The program itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/case ./review/standins-3/*.go
