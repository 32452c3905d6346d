"""Entry point of the alderbridge controller."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from alderbridge.cli import main

if __name__ == "__main__":
    sys.exit(main())
