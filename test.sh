#!/bin/sh
# Formatting, lints, documentation, the limits of the decision module, and all tests.
set -eu
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets --quiet -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --quiet
policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$policy" ] || { echo "deploy/balancer.toml names no policy files" >&2; exit 1; }
# shellcheck disable=SC2086
lines=$(cat $policy | grep -vc '^[[:space:]]*$')
[ "$lines" -le 1200 ] || { echo "the policy files have $lines non-blank lines; 1200 are allowed" >&2; exit 1; }
# shellcheck disable=SC2086
if awk '{ gsub(/[\200-\277]/, "") } length > 110 { exit 1 }' $policy; then :; else
    echo "a policy file has a line over 110 characters" >&2; exit 1
fi

# Tests that fail for a known fault, one line each: test, cause, issue, with bars between them.
skips=
if [ -s KNOWN-RED.txt ]; then
    [ "$(grep -c . KNOWN-RED.txt)" -le 3 ] || { echo "KNOWN-RED.txt has more than three lines" >&2; exit 1; }
    echo "Known to fail and passed over:"
    cat KNOWN-RED.txt
    for name in $(cut -d'|' -f1 KNOWN-RED.txt); do skips="$skips --skip $name"; done
fi
# shellcheck disable=SC2086
cargo test --locked --workspace -- $skips
