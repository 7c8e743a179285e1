"""Controllers that pass requests on to backend servers."""
