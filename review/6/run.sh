#!/bin/sh
# Plays case 6; TROUBLE=0 leaves the disruption out. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/6/run.py
