#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. It needs only Go, no network.
set -euo pipefail
cd "$(dirname "$0")/standins-3/platform"
GOTOOLCHAIN=local go build -o ../../../target/review-3/standins3 .
