"""Controllers that forward requests to backend servers."""
