#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/case ] || [ ! -x target/mulberrypier ]; then
  echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec timeout -k 2 118 target/review-3/case late-entry review/12
