"""Entry point of ``python -m ironmill.simulator``, which serves the simulator on stdin and stdout."""

import sys

from ironmill.simulator.loop import main

sys.exit(main())
