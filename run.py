"""Start one marblestair controller from a checkout that was built into target/deps."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "target", "deps"))

from marblestair.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
