#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
GOWORK=off go build -o ../../target/standins-3 .
