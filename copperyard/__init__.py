"""A session controller for streamed video: its decisions, gateways and lab."""
