#!/bin/sh
# Shows the claim beside it; see claim.txt. TROUBLE=0 leaves out the fraction.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-2/10 ../../target/croftturn record.txt
