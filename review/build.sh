#!/bin/sh
# Builds the review's stand-ins and scripts into target/review/.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec go build -tags review -o target/review/ ./review/...
