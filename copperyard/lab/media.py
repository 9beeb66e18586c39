"""Media of the stand-in hosts: JPEG video (RFC 2435) and PCMU audio (RFC 3551) in valid payload formats.

A rung sets the number of bytes per frame: pictures are filled with noise up to that size. Audio is sent as talkspurts
with silence between them, as RFC 3551 section 4.1 permits.
"""

from __future__ import annotations

import math
import random
from functools import lru_cache

CHUNK = 1388  # scan bytes per fragment; about 1,400 with its JPEG header
VIDEO_CLOCK, AUDIO_CLOCK = 90_000, 8_000
SIZES = ((96, 64), (320, 240), (640, 480), (1280, 960))
# the codes used from the standard tables (ISO 10918-1 K.3): DC differences by category, AC 0/1, end of block
_DC = ("00", "010", "011", "100", "101", "110", "1110")
_AC_ONE, _Y_END, _C_DC, _C_END = "00", "1010", "00", "00"


def _encode_dc_difference(value: int) -> str:
    if value == 0:
        return _DC[0]
    bits = abs(value).bit_length()
    number = value if value > 0 else value + (1 << bits) - 1
    return _DC[bits] + format(number, f"0{bits}b")


@lru_cache(maxsize=256)
def picture(size: int, phase: int) -> tuple[bytes, int, int]:
    """Return a baseline 4:2:0 scan of about `size` bytes, its width and height in pixels; `phase` sets the shade."""
    width, height = next(((w, h) for w, h in SIZES if w * h * 1.1 > size), SIZES[-1])
    units = math.ceil(width / 16) * math.ceil(height / 16)
    spare = size * 8 - units * (4 * (len(_DC[0]) + len(_Y_END)) + 2 * (len(_C_DC) + len(_C_END)))
    coefficients = max(0, min(63, spare // (units * 4 * 3)))
    rng = random.Random(size * 31 + phase)
    bits, dc = [], 0
    for _ in range(units):
        for block in range(4):
            shade = (phase * 7 + rng.randrange(-4, 5)) % 40 - 20 if block == 0 else dc
            bits.append(_encode_dc_difference(shade - dc))
            dc = shade
            noise = rng.getrandbits(63)
            bits += [_AC_ONE + ("1" if noise >> n & 1 else "0") for n in range(coefficients)]
            if coefficients < 63:
                bits.append(_Y_END)
        bits.append(2 * (_C_DC + _C_END))
    text = "".join(bits)
    text += "1" * (-len(text) % 8)
    data = int(text, 2).to_bytes(len(text) // 8, "big").replace(b"\xff", b"\xff\x00")
    return data + b"\xff\xd9", width, height


def fragments(scan: bytes, width: int, height: int) -> list[bytes]:
    """Return the RTP payloads of a picture (RFC 2435 section 3.1): type 1, standard tables at quality 50."""
    return [
        b"\0" + at.to_bytes(3, "big") + bytes((1, 50, width // 8, height // 8)) + scan[at : at + CHUNK]
        for at in range(0, len(scan), CHUNK)
    ]


@lru_cache(maxsize=64)
def tone(phase: int) -> bytes:
    """Return 20 ms of a 440 Hz tone as PCMU."""
    return bytes(_ulaw(int(6000 * math.sin(2 * math.pi * 440 * (n + phase * 160) / AUDIO_CLOCK))) for n in range(160))


def _ulaw(sample: int) -> int:
    sign = 0x80 if sample < 0 else 0
    value = min(abs(sample), 32635) + 132
    exponent = max(0, value.bit_length() - 8)
    return ~(sign | exponent << 4 | value >> exponent + 3 & 15) & 0xFF
