"""Run a program of cardamomflow: `python -m cardamomflow PROGRAM`."""

import sys

from cardamomflow import core

if __name__ == '__main__':
    sys.exit(core.main(sys.argv[1:]))
