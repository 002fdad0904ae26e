"""Which routers are up, which of them owns a budget, and their own calls."""
