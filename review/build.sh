#!/bin/sh
# Builds the stand-ins of the cases into target/review.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off go build -o ../../target/review/harness .
