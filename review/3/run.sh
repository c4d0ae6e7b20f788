#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")"
