"""Controllers of the HTTP API for callers."""
