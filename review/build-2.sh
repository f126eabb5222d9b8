#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The scripts also need the programs of the deploy
# file: cargo build --release --locked --package grebepin-platform
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline --target-dir ../../target/review-2
