#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. It needs only the repository and Go.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-2/ ./review/rig-2
