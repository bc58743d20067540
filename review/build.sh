#!/usr/bin/env bash
# Builds the stand-ins of all cases, after the build of deploy/balancer.toml. It needs Go and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p bin
go build -tags review -o bin/review-standin ./review/standin
