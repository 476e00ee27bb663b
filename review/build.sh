#!/bin/bash
# Builds the stand-ins of the cases, one program for each, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]; do
  go build -o "review/bin/case-${folder##*/}" "./$folder/driver"
done
