"""Stand-ins for the platform's systems, each run as its own process."""
