"""``python -m ironmill.simulator``: answers the simulator on standard input and output."""

import sys

from ironmill.simulator.loop import main

sys.exit(main())
