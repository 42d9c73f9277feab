#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/build/case-$(basename "$folder")
[ -x "$program" ] && [ -x "$root/build/bankmux" ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
rm -f "$folder/record.txt"
"$program" "$root" "$folder" "$temporary"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
