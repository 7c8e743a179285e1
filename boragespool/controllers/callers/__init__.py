"""Controllers of the HTTP API for callers, and overload control."""
