"""Core of a gateway without I/O: session requests, RTSP connections, and agreement between gateways."""
