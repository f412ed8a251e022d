#!/bin/sh
# The stand-ins of the cases are plain modules under review/lib, so only their syntax is checked.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[1-9]/*.mjs; do
  node --check "$file"
done
