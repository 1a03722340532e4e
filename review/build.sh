#!/bin/sh
# Builds the stand-ins and drivers of the cases' scripts; run it after the build of the deploy file. The project's
# own stand-ins (crates/testkit, `system`) are built with them, with the versions of the project's lock file.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline --target-dir ../../target/review
