#!/bin/bash
# Builds the stand-ins of the second review. The programs of the project come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/ ./review/standin-2
