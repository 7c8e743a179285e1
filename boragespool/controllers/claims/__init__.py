"""Claim controller: tickets, attempts, witness records and outcomes."""
