"""Keeps a viewer's RTP streams whole over whatever feeds them: another host, a pause, another rung.

A viewer is told one SSRC at SETUP. Sequence numbers and timestamps that it gets go on without a jump
backwards (RFC 3550 section 5.1), though every host starts its own at random.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..protocol.rtp import Block, Packet, SenderReport, parse, rewrite

SECOND = 1_000_000_000
_NUMBERS = struct.Struct(">HII")  # sequence number, timestamp, source, from byte 2 of a packet on


@dataclass(slots=True)
class Splice:
    """One track. `clock` is its ticks a second, `ssrc`, `seq` and `ts` what the viewer gets next, `channel` the
    interleaved channel on which it does; its RTCP goes by the next one."""

    clock: int
    ssrc: int
    seq: int
    ts: int
    channel: int = 0
    source: int | None = None
    seq_off: int = 0
    ts_off: int = 0
    at: int = 0
    sent: int = 0
    octets: int = 0

    def announce(self, now: int, seq: int, ts: int) -> tuple[int, int]:
        """A host says with which packet it begins (RTP-Info). Gives the same for the viewer."""
        self.source = None
        self._aim(now, seq, ts)
        return self.seq, self.ts

    def _aim(self, now: int, seq: int, ts: int) -> None:
        if self.sent:
            # the break took time for the viewer as well: its clock went on
            self.ts = (self.ts + max(1, (now - self.at) * self.clock // SECOND)) & 0xFFFFFFFF
        self.at = now
        self.seq_off = self.seq - seq & 0xFFFF
        self.ts_off = self.ts - ts & 0xFFFFFFFF

    def packet(self, now: int, data: bytes) -> bytes | None:
        """A host's RTP packet as the viewer gets it; None for what is no RTP."""
        head = parse(data)
        if head is None:
            return None
        if head.ssrc != self.source:
            self.meet(now, head.ssrc, head.seq, head.ts)
        return self._pass(now, head, data)

    def meet(self, now: int, source: int, seq: int, ts: int) -> None:
        """A packet of another source than before. One that changed without being announced is numbered anew
        behind what was sent."""
        if self.source is not None:
            self._aim(now, seq, ts)
        self.source = source

    def _pass(self, now: int, head: Packet, data: bytes) -> bytes:
        seq = head.seq + self.seq_off & 0xFFFF
        ts = head.ts + self.ts_off & 0xFFFFFFFF
        if (seq - self.seq) & 0xFFFF < 0x8000:  # not one that came late
            self.seq = seq + 1 & 0xFFFF
            self.ts, self.at = ts, now
        self.sent += 1
        self.octets += len(data) - 12
        return rewrite(data, seq, ts, self.ssrc)

    def reception(self, blocks: Sequence[Block]) -> tuple[Block, ...]:
        """What a viewer received of this track (RFC 3550 section 6.4.1), in the host's own source and numbers. What
        speaks of other sources, or of a time when no host fed this track, is left out."""
        found = []
        for one in blocks:
            if one.ssrc == self.ssrc and self.source is not None:
                highest = one.highest - self.seq_off & 0xFFFFFFFF
                found.append(replace(one, ssrc=self.source, highest=highest))
        return tuple(found)

    def report(self, one: SenderReport) -> SenderReport:
        """A host's sender report as the viewer gets it: the counts are of what this front sent."""
        return replace(
            one, ssrc=self.ssrc, ts=one.ts + self.ts_off & 0xFFFFFFFF, packets=self.sent, octets=self.octets, blocks=()
        )


def splice_run(now: int, run: bytearray, splices: Sequence[Splice]) -> tuple[list[bytes], list[tuple[int, bytes]]]:
    """Turn a run of a host's interleaved frames into the viewer's, in place: what is for the viewer, and the
    frames on RTCP channels (track, payload), which the caller reads. Frames of channels that nobody set up, and
    what is no RTP, are left out.

    This is the one loop that every byte of media passes; it does what Splice.packet does, without an object a
    packet."""
    kept: list[bytes] = []
    control: list[tuple[int, bytes]] = []
    at = begin = 0
    size, channels = len(run), 2 * len(splices)
    unpack, pack = _NUMBERS.unpack_from, _NUMBERS.pack_into
    while at < size:
        channel = run[at + 1]
        end = at + 4 + (run[at + 2] << 8 | run[at + 3])
        if channel & 1 or channel >= channels or end < at + 16 or run[at + 4] >> 6 != 2:
            if channel & 1 and channel < channels:
                control.append((channel >> 1, bytes(run[at + 4 : end])))
            if begin < at:
                kept.append(bytes(run[begin:at]))
            at = begin = end
            continue
        one = splices[channel >> 1]
        seq, ts, source = unpack(run, at + 6)
        if source != one.source:
            one.meet(now, source, seq, ts)
        seq = seq + one.seq_off & 0xFFFF
        ts = ts + one.ts_off & 0xFFFFFFFF
        if seq - one.seq & 0x8000 == 0:
            one.seq, one.ts, one.at = seq + 1 & 0xFFFF, ts, now
        one.sent += 1
        one.octets += end - at - 16
        pack(run, at + 6, seq, ts, one.ssrc)
        run[at + 1] = one.channel
        at = end
    if begin < size:
        kept.append(bytes(run[begin:]) if begin else bytes(run))
    return kept, control
