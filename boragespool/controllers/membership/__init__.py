"""Controllers of gossip membership: the member table and pings."""
