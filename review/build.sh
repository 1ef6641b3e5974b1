#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review/ ./review/rig
