#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 compile. They are Python from
# the standard library, so nothing else has to be built.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

folders = ['common-3', *(str(number) for number in range(11, 16))]
for folder in folders:
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
        print(f'{path}: compiles')
CHECK
