"""Frames between gateways: typed messages in msgpack, bounded in size and versioned. No I/O."""

from .frames import MAX_FRAME_BYTES, VERSION, BadFrame, Codec, Hello, Reader, hello, read_hello

__all__ = ["MAX_FRAME_BYTES", "VERSION", "BadFrame", "Codec", "Hello", "Reader", "hello", "read_hello"]
