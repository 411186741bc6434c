#!/bin/bash
# Builds the stand-ins and the drivers of the review cases 11 to 15. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/ ./review/standin-3
