#!/bin/sh
# Runs a case five times, and once without the disruption: run5.sh N
cd "$(dirname "$0")/$1" || exit 2
for number in 1 2 3 4 5; do
    ./run.sh
    echo "run $number: exit $?, $(tail -n 1 record.txt)"
done
cp record.txt record-trouble.tmp
TROUBLE=0 ./run.sh
echo "TROUBLE=0: exit $?, $(tail -n 1 record.txt)"
mv record-trouble.tmp record.txt
