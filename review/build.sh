#!/usr/bin/env bash
# Builds the stand-ins of the cases: they need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
