#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin. It needs Go only.
set -euo pipefail
cd "$(dirname "$0")/platform/standins"
go build -o ../../bin/standins .
