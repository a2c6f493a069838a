"""``python -m ironmill`` is the command line."""

import sys

from ironmill.cli import main

if __name__ == "__main__":
    sys.exit(main())
