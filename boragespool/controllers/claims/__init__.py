"""Controllers of claims: issue, attempts, witnesses and outcomes."""
