#!/bin/sh
# Case 8, see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
# Without arguments the program ends with 2. One that is missing, or of another kind of machine, does not.
bin/review2 2>/dev/null; [ $? -eq 2 ] || { echo "bin/review2 does not run here: build first" >&2; exit 2; }
exec bin/review2 8 review/8
