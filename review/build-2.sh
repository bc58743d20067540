#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, and those of case 10. Run after the build of the deploy file; it needs Go and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/standins-2
go build -o bin/review2-refused ./review/standins-2/refused
