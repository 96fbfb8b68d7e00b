"""Entry point of ``python -m onyxgap``."""

import sys

from .cli.main import main

sys.exit(main())
