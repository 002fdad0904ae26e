"""Stand-ins for external systems; each runs as a process of its own."""
