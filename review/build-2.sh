#!/bin/bash
# Builds the stand-ins of cases 4 to 8. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standin-2 -o "$PWD/target/review-standin-2" .
