"""The platform's protocols without I/O: messages of hosts, RTSP fields of viewers, the host list in DNS answers."""
