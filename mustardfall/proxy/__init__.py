"""The data path: callers' HTTP in front, endpoints' HTTP behind."""
