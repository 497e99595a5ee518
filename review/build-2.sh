#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into bin/review-2/, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS=-mod=readonly GOPROXY=off go build -o bin/review-2/ ./review/standin-2/...
