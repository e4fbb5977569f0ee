#!/bin/sh
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout 118 python3 trial.py
