"""The `copperyard` command line."""
