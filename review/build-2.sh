#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the project's programs: their
# stand-ins are plain modules, so only their syntax is checked.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs; do
  node --check "$file" || exit 1
done
for number in 6 7 8 9 10; do
  if [ -f "$number/run.mjs" ]; then node --check "$number/run.mjs" || exit 1; fi
done
