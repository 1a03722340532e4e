#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$folder/record.txt
cd "$folder/../.." || exit 2
driver=target/review/release/review-standins
for program in "$driver" target/release/dunelink-control target/release/dunelink-agent target/release/dunelink-proxy; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
timeout -k 5 100 "$driver" crash target/release "$record"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
