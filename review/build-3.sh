#!/bin/bash
# Builds the stand-ins of the cases of this review, after the build of the deploy file. It needs no network.
cd "$(dirname "$0")/.." || exit 2
exec go build -o bin/standins-3 ./review/standins-3
