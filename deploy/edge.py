"""Starts an edge process from a checkout, whose sources no build step copies."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from azureswitch.platform import main  # noqa: E402  (The path comes first.)

sys.exit(main())
