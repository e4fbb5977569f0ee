#!/bin/sh
# Builds every stand-in that a script starts. They are Python, of the standard
# library alone, so that building them means to compile each once.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("compiled", path)
'
