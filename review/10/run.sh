#!/bin/sh
# Exit 1: rule broken, 0: held, 2: could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
program=$ROOT/build/review-2/pipelined
[ -x "$program" ] && [ -x "$ROOT/build/bankmux" ] || exit 2
exec timeout -k 2 118 "$program" "$here/record.txt"
