"""Membership: the hosts of the list service, and the gateways of the site."""
