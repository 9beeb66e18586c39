"""Makes hypothesis generate the same examples in every run, and has KNOWN-RED.txt read."""

from hypothesis import settings

pytest_plugins = ["pytester", "tests.known_red"]

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
