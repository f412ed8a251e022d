#!/bin/sh
# Runs the script of a case once without the disruption and five times with it: sh review/five.sh N
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 sh "review/$1/run.sh" > /dev/null
echo "TROUBLE=0: exit $?: $(sed -n 2p "review/$1/record.txt")"
for i in 1 2 3 4 5; do
  sh "review/$1/run.sh" > /dev/null
  echo "run $i: exit $?: $(sed -n 2p "review/$1/record.txt")"
done
