#!/bin/sh
# Builds the stand-ins and drivers of the second review's scripts, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/6 ./review/7 ./review/8 ./review/9 ./review/10
