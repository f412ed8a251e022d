#!/bin/bash
# The stand-ins of review/lib-3 are plain modules of the runtime; this only checks that they load.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs; do node --check "$file"; done
