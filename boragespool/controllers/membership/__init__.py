"""Controllers of membership: the state of members and pings."""
