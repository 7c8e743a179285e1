"""Controllers of backend servers: dispatch, connections and records."""
