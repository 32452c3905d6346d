"""Starts one alderbridge controller; the library does the work."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from alderbridge.cli import main

if __name__ == "__main__":
    sys.exit(main())
