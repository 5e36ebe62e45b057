#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/celerystiled ] && [ -x target/review-2/cases ] || exit 2
CASE_FOLDER=review/8 exec target/review-2/cases pending-syn
