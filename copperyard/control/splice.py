"""Rewrites RTP so that a viewer's streams stay continuous when the host, the position or the rung changes.

A viewer is told one SSRC per track at SETUP. Its sequence numbers and timestamps never jump backwards (RFC 3550
section 5.1), although every host starts at random values.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..protocol.rtp import ReportBlock, RtpHeader, SenderReport, parse_header, rewrite_header

SECOND = 1_000_000_000
_SEQ_TS_SSRC = struct.Struct(">HII")  # sequence number, timestamp, SSRC, from byte 2 of a packet


@dataclass(slots=True)
class Splice:
    """RTP state of one track. `clock` is ticks per second; `ssrc`, `seq` and `ts` are what the viewer gets next;
    `channel` is its interleaved channel, with RTCP on the next one; `source` is the host's SSRC, None after an
    announcement until its first packet.
    """

    clock: int
    ssrc: int
    seq: int
    ts: int
    channel: int = 0
    source: int | None = None
    seq_offset: int = 0
    ts_offset: int = 0
    last_packet_at: int = 0
    packets_sent: int = 0
    octets_sent: int = 0

    def announce(self, now: int, seq: int, ts: int) -> tuple[int, int]:
        """Take the first sequence number and timestamp that a host announces (RTP-Info). Returns the viewer's."""
        self.source = None
        self._rebase(now, seq, ts)
        return self.seq, self.ts

    def _rebase(self, now: int, seq: int, ts: int) -> None:
        if self.packets_sent:
            # the viewer's clock advanced during the interruption
            self.ts = (self.ts + max(1, (now - self.last_packet_at) * self.clock // SECOND)) & 0xFFFFFFFF
        self.last_packet_at = now
        self.seq_offset = self.seq - seq & 0xFFFF
        self.ts_offset = self.ts - ts & 0xFFFFFFFF

    def packet(self, now: int, data: bytes) -> bytes | None:
        """Return a host's RTP packet as the viewer gets it, None if it is not RTP."""
        header = parse_header(data)
        if header is None:
            return None
        if header.ssrc != self.source:
            self.switch_source(now, header.ssrc, header.seq, header.ts)
        return self._rewrite(now, header, data)

    def switch_source(self, now: int, source: int, seq: int, ts: int) -> None:
        """Handle a packet with a new SSRC. A change that was not announced is numbered to follow what was sent."""
        if self.source is not None:
            self._rebase(now, seq, ts)
        self.source = source

    def _rewrite(self, now: int, header: RtpHeader, data: bytes) -> bytes:
        seq = header.seq + self.seq_offset & 0xFFFF
        ts = header.ts + self.ts_offset & 0xFFFFFFFF
        if (seq - self.seq) & 0xFFFF < 0x8000:  # ignore reordered packets
            self.seq = seq + 1 & 0xFFFF
            self.ts, self.last_packet_at = ts, now
        self.packets_sent += 1
        self.octets_sent += len(data) - 12
        return rewrite_header(data, seq, ts, self.ssrc)

    def host_blocks(self, blocks: Sequence[ReportBlock]) -> tuple[ReportBlock, ...]:
        """Translate a viewer's reception blocks (RFC 3550 section 6.4.1) to the host's SSRC and sequence numbers.
        Blocks about other sources, or from a time when no host fed this track, are dropped.
        """
        found = []
        for one in blocks:
            if one.ssrc == self.ssrc and self.source is not None:
                highest = one.highest_seq - self.seq_offset & 0xFFFFFFFF
                found.append(replace(one, ssrc=self.source, highest_seq=highest))
        return tuple(found)

    def viewer_report(self, report: SenderReport) -> SenderReport:
        """Return a host's sender report as the viewer gets it, with the counts of what this front sent."""
        return replace(
            report,
            ssrc=self.ssrc,
            ts=report.ts + self.ts_offset & 0xFFFFFFFF,
            packets=self.packets_sent,
            octets=self.octets_sent,
            blocks=(),
        )


def splice_run(now: int, run: bytearray, splices: Sequence[Splice]) -> tuple[list[bytes], list[tuple[int, bytes]]]:
    """Rewrite a run of a host's interleaved frames for the viewer, in place. Returns the data for the viewer and the
    RTCP frames (track, payload), which the caller processes. Frames on unknown channels and frames that are not RTP
    are dropped.

    All media passes through this loop. It does the same as Splice.packet without an object per packet.
    """
    kept: list[bytes] = []
    control: list[tuple[int, bytes]] = []
    at = begin = 0
    size, channels = len(run), 2 * len(splices)
    unpack, pack = _SEQ_TS_SSRC.unpack_from, _SEQ_TS_SSRC.pack_into
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
            one.switch_source(now, source, seq, ts)
        seq = seq + one.seq_offset & 0xFFFF
        ts = ts + one.ts_offset & 0xFFFFFFFF
        if seq - one.seq & 0x8000 == 0:
            one.seq, one.ts, one.last_packet_at = seq + 1 & 0xFFFF, ts, now
        one.packets_sent += 1
        one.octets_sent += end - at - 16
        pack(run, at + 6, seq, ts, one.ssrc)
        run[at + 1] = one.channel
        at = end
    if begin < size:
        kept.append(bytes(run[begin:]) if begin else bytes(run))
    return kept, control
