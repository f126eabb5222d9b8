#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs only a Rust toolchain with cargo, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
