"""Frames between gateways: typed messages in msgpack, bounded in size and versioned. No I/O."""

from .frames import MAX_FRAME_BYTES, VERSION, Codec, FrameError, FrameReader, Hello, encode_hello, parse_hello

__all__ = ["MAX_FRAME_BYTES", "VERSION", "FrameError", "Codec", "Hello", "FrameReader", "encode_hello", "parse_hello"]
