#!/bin/sh
# Runs the stand-ins of one case: run.sh NUMBER PROGRAM. Exit 1: rule broken, 0: held, 2: could not run.
# TROUBLE=0 leaves the disruption out. The program ends what it has started, also if it is ended itself.
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
export ROOT
program=$ROOT/build/review-2/$2
[ -x "$program" ] && [ -x "$ROOT/build/bankmux" ] || exit 2
timeout -k 2 115 "$program" "$ROOT/review/$1/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
