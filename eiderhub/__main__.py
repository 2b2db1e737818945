"""`python -m eiderhub` does what the command `eiderhub` does."""

import sys

from eiderhub.cli import main

if __name__ == "__main__":
    sys.exit(main())
