"""Keeps a viewer's RTP streams whole over whatever feeds them: another host, a pause, another rung.

A viewer is told one SSRC at SETUP. Sequence numbers and timestamps that it gets go on without a jump
backwards (RFC 3550 section 5.1), though every host starts its own at random.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..protocol.rtp import Packet, SenderReport, parse, rewrite

SECOND = 1_000_000_000


@dataclass(slots=True)
class Splice:
    """One track. `clock` is its ticks a second, `ssrc`, `seq` and `ts` what the viewer gets next."""

    clock: int
    ssrc: int
    seq: int
    ts: int
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
        if self.source is None:
            self.source = head.ssrc
        elif head.ssrc != self.source:
            # a source that changed without being announced: numbering starts anew behind what was sent
            self.source = head.ssrc
            self._aim(now, head.seq, head.ts)
        return self._pass(now, head, data)

    def _pass(self, now: int, head: Packet, data: bytes) -> bytes:
        seq = head.seq + self.seq_off & 0xFFFF
        ts = head.ts + self.ts_off & 0xFFFFFFFF
        if (seq - self.seq) & 0xFFFF < 0x8000:  # not one that came late
            self.seq = seq + 1 & 0xFFFF
            self.ts, self.at = ts, now
        self.sent += 1
        self.octets += len(data) - 12
        return rewrite(data, seq, ts, self.ssrc)

    def report(self, one: SenderReport) -> SenderReport:
        """A host's sender report as the viewer gets it: the counts are of what this front sent."""
        return replace(one, ssrc=self.ssrc, ts=one.ts + self.ts_off & 0xFFFFFFFF, packets=self.sent,
                       octets=self.octets, blocks=())
