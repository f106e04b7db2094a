#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs Go only, and no module.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../bin/standin .
