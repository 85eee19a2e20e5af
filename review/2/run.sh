#!/usr/bin/env bash
# Exits with 1 if a kind of request was starved, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/2/case.py
