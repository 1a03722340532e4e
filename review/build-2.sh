#!/bin/sh
# Builds the stand-ins of the second review. It needs no network.
cd "$(dirname "$0")/standins-2" && cargo build --release --locked --offline
