#!/bin/sh
# Builds the stand-ins of review 2: compiles them, which shows that this Python
# can run them. They need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins2
