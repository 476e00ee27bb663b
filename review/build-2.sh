#!/bin/sh
# Builds the stand-ins of the second review's cases into review/bin/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin2 ./review/standin2
