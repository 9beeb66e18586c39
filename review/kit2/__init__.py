"""Stand-ins for viewers, media hosts, the network and the name service, and the start of the gateway."""
