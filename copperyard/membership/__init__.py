"""Who is there: the hosts that the list service names."""
