#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, into out/review/. It needs no
# network: the stand-ins use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../out/review
go build -o ../../out/review/ ./...
