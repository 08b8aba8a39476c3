#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
go build -o ../../target/review-3/standins3 .
