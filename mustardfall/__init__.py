"""mustardfall: a router fleet for prepaid token budgets."""

__version__ = "0.1.0"

from mustardfall.util import clock as _clock  # noqa: F401  reads the start time
