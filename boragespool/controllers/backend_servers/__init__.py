"""Controllers of backend servers: dispatch of work, and server records."""
