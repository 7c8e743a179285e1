"""Controllers of queries: parts, attempts, hedges and answers."""
