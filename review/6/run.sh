#!/bin/sh
# Exit 1: rule broken, 0: held, 2: could not run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../common-2/run.sh" 6 endless_heads
