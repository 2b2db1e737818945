"""Runs the command `eiderhub` by `python -m eiderhub`."""

import sys

from eiderhub.cli import main

if __name__ == "__main__":
    sys.exit(main())
