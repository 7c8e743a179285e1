"""Query controller: scatter, retries and hedges, and gathering of answers."""
