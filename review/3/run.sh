#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -um
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/lost
[ -x "$program" ] || review/build.sh >&2 || exit 2
for needed in target/release/grebepin-platform-control target/release/grebepin-platform-router; do
  [ -x "$needed" ] || { echo "$needed is missing: build it as the deploy file says" >&2; exit 2; }
done
ROOT=$PWD CASE=$PWD/review/3 timeout --kill-after=3 110 "$program" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
