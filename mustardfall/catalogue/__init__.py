"""The operators' catalogue: entries with owner, class and budget."""
