"""Stand-ins and a recorder for the cases: media hosts, a name service, viewers, the gateway as a process."""
