"""Random scenarios: a whole site with its load, faults and network, drawn from one seed.

A scenario runs on the virtual clock, is audited, and is checked for leftover state. Each seed omits some kinds of
fault, so that rare combinations come up (swarm testing).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..config import Site, parse
from ..protocol.rtsp import Request
from . import virtual
from .audit import Tap, Violation
from .faults import DEFAULT_STRENGTH, FAULT_ACTIONS, SHARE_KINDS, Fault, Whom
from .fleet import Fleet, GatewayFactory
from .memnet import Manners, MemoryNetwork
from .rehearsal import Crowd, Load, Rehearsal
from .run import MS, Result, run_rehearsal

DISK_FAULTS = ("disk-pause", "disk-error", "power-cut")
TRACKS = (
    '<track kind="video" payload-type="26" codec="JPEG" clock="90000"/>'
    '<track kind="audio" payload-type="0" codec="PCMU" clock="8000"/>'
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Everything that is drawn from a seed. `settings` is XML."""

    seed: int
    settings: str
    rehearsal: Rehearsal
    manners: Manners

    @property
    def site(self) -> Site:
        """The parsed settings."""
        return parse(self.settings.encode())


def draw(seed: int) -> Scenario:
    """Return the scenario of a seed; it is the same in every process."""
    rng = random.Random(seed)
    hosts, gateways = rng.choice((1, 2, 3, 4, 6, 8)), rng.choice((1, 1, 2, 3))
    zones = rng.choice((1, 1, 2))
    racks = rng.randint(1, min(3, hosts))
    settings = _draw_settings(rng, hosts, gateways, zones, racks)
    seconds = rng.uniform(5, 10)
    kinds = [kind for kind in FAULT_ACTIONS if kind not in DISK_FAULTS and rng.random() < 0.5]
    faults = (
        tuple(
            _draw_fault(rng, kind, seconds, hosts, gateways, zones)
            for kind in rng.choices(kinds, k=rng.randint(0, 6))
            if kinds
        )
        if kinds
        else ()
    )
    crowds = (
        (Crowd(rng.uniform(0, seconds - 1), 0.5, rng.randint(5, 25), "/f/0", rng.choice((0.0, 0.5, 1.0))),)
        if rng.random() < 0.3
        else ()
    )
    load = Load(
        rng.uniform(1, 9), rng.choice((0.0, 0.35, 0.7, 1.0)), (0.5, rng.uniform(1, 5)), 0.8, rng.choice((0.0, 0.3, 0.7))
    )
    rough_network = rng.random() < 0.6
    manners = Manners(
        latency=(0.0002, rng.choice((0.001, 0.005, 0.02))),
        chop=rng.choice((0.0, 0.2, 0.6)) * rough_network,
        window=rng.choice((2000, 16_384, 65_536)),
        hang=rng.choice((0.0, 0.0, 0.05)) * rough_network,
        reset=rng.choice((0.0, 0.0, 0.06)) * rough_network,
        connect=rng.choice((0.0, 0.0, 0.1)) * rough_network,
    )
    settings, disk_faults = _draw_state(random.Random(f"state of {seed}"), settings, seconds)
    faults += disk_faults
    return Scenario(seed, settings, Rehearsal(f"seed-{seed}", "drawn", seconds, load, crowds, faults), manners)


def _draw_state(rng: random.Random, settings: str, seconds: float) -> tuple[str, tuple[Fault, ...]]:
    """Draw whether gateways have durable state, and the disk faults.

    They come from a random source of their own, so that the rest of a seed's scenario does not change.
    """
    if rng.random() < 0.5:
        return settings, ()
    faults = []
    for kind in DISK_FAULTS:
        if rng.random() < 0.4:
            at = rng.uniform(0.2, seconds - 0.5)
            faults.append(
                Fault(
                    kind,
                    at,
                    at + rng.uniform(0.2, 3.0),
                    Whom(share=rng.choice((0.3, 1.0))),
                    rng.choice((0.05, 0.4, 2.0)) if kind == "disk-pause" else 1.0,
                )
            )
    return settings.replace("<titles>", '<state folder="state"/><titles>'), tuple(faults)


def _draw_settings(rng: random.Random, hosts: int, gateways: int, zones: int, racks: int) -> str:
    rungs = rng.randint(2, 5)
    floor = rng.randrange(rungs)
    ladder = "".join(f'<rung rate="{200 * 2 ** n}kB/s" worth="{(n + 1) / rungs:.2f}"/>' for n in range(rungs))
    further = rng.choice(("", 'further="0"', 'further="1" further-share="0.1"', 'further="3" further-share="0.2"'))
    titles = rng.randint(1, 3)
    return f"""<copperyard>
<zones>{''.join(f'<zone name="z{n}"/>' for n in range(zones))}</zones>
<gateways>{''.join(f'<gateway name="gw-{n}" listen="127.0.0.1:0" zone="z{n % zones}"/>' for n in range(gateways))}
</gateways><ladder>{ladder}</ladder><classes>
<class name="free" path="/" aim="1500ms" deadline="{rng.choice((2, 4, 5))}s" seats="{rng.choice((0, 0, 2))}"/>
<class name="paid" path="/" code="required" set-up="once" aim="1s" deadline="3s" worth="2" floor="{floor}"
 seats="{rng.choice((0, 1, 2, 6))}"/></classes>
<fleet cells="{hosts}" racks="{racks}" link="{rng.choice((1, 3, 9))}MB/s" uplink="{rng.choice((3, 9, 60))}MB/s"
 places="{rng.choice((2, 8, 30))}" full-from="{rng.choice((0, 1))}" warm-within="{rng.choice((0.5, 3, 8))}s"/>
<rules drain-grace="{rng.choice((10, 100, 250))}ms" fall-multiple="{rng.choice((2, 3, 4))}" fall="{rng.choice((1, 3))}s"
 attempts="{rng.randint(1, 4)}" {further} retry-after="{rng.choice((0, 1))}s"/>
<reports probes="{rng.choice(('yes', 'no'))}" in-answers="{rng.choice(('yes', 'no'))}"
 told-every="{rng.choice((0, 2))}s"/>
<prices switch="{rng.choice((0, 500))}ms" crossing="{rng.choice((0, 0.05))}"/>
<list url="http://127.0.0.1:1/hosts" wait="2s" timeout="3s"/>
<limits stall="2s" idle="{rng.choice((6, 20))}s" silence="1s" dead="3s" queue="{rng.choice((20, 200))}kB"
 open-requests="{rng.choice((5, 500))}" codes="{rng.choice((3, 1000))}"/>
<titles>{''.join(f'<title path="/f/{n}" name="F" length="{rng.choice((2, 6))}s" cell="{rng.randrange(hosts)}" '
                 f'holders="{rng.randint(1, hosts)}">{TRACKS}</title>' for n in range(titles))}</titles>
<lab media-scale="0.01" list-late="{rng.choice((20, 300))}ms">{''.join(
    f'<host name="h{n}" cell="{n}" zone="z{n % zones}"/>' for n in range(hosts))}</lab>
</copperyard>"""


def _draw_fault(rng: random.Random, kind: str, seconds: float, hosts: int, gateways: int, zones: int) -> Fault:
    at = rng.uniform(0.2, seconds - 0.5)
    until = at + rng.uniform(0.3, 4.0)
    share = rng.choice((0.01, 0.3, 0.6, 1.0))
    whom = Whom(share=share)
    if kind.startswith("zone"):
        whom = Whom(zone=f"z{rng.randrange(zones)}")
    elif rng.random() < 0.3 and not kind.startswith(("gateway", "list", "uplink")):
        whom = Whom(hosts=(f"h{rng.randrange(hosts)}",))
    strength = DEFAULT_STRENGTH.get(kind, rng.choice((1.0, 2.0)))
    if kind in SHARE_KINDS:
        strength = rng.choice((0.2, 0.6, 1.0))
    every = rng.choice((None, None, 1.0)) if kind in ("hang", "gateway-stall", "neighbour", "errors") else None
    return Fault(kind, at, until, whom, strength, every)


def run_scenario(scenario: Scenario, make: GatewayFactory | None = None) -> Result:
    """Run a scenario to its end on a virtual clock."""
    network = MemoryNetwork(scenario.manners, scenario.seed)
    site = scenario.site
    latency = round(scenario.manners.latency[1] * 1e9)

    async def main() -> Result:
        # a viewer's request and its answer each take one latency, or several if reads and writes are partial
        return await run_rehearsal(
            site,
            scenario.rehearsal,
            network,
            scenario.seed,
            5 * MS + 2 * latency,
            20 * MS + 12 * latency,
            make=make,
            at_end=wait_until_empty,
        )

    return virtual.run(main, scenario.seed)


async def wait_until_empty(fleet: Fleet) -> list[str]:
    """Wait until gateways and hosts hold nothing of the viewers, which have all left.

    Return descriptions of what is still there after the idle and dead-host timeouts plus 8 s.
    """
    bounds = fleet.site.rules.bounds
    found: list[str] = []
    with trio.move_on_after((bounds.idle + bounds.dead) / 1e9 + 8):
        while found := _leftovers(fleet):  # noqa: ASYNC110
            await trio.sleep(0.2)
    return found


def _leftovers(fleet: Fleet) -> list[str]:
    found = []
    for one in fleet.gateways:
        if one.gateway is None:
            continue
        core, gateway = one.gateway.core, one.gateway
        module = core.session_table.controller
        for what, held in (
            ("session requests", core.session_table.requests),
            ("sessions", core.rtsp_server.sessions),
            ("viewer connections", core.rtsp_server.connections),
            ("host connections", gateway._attempt_tasks),
            ("module sessions", module.sessions),
            ("module holds", module.held),
            ("seats", module.seats),
        ):
            if held:
                found.append(f"{one.name}: {len(held)} {what} left")
        if core.session_table.unanswered:
            found.append(f"{one.name}: {core.session_table.unanswered} session requests still counted as waiting")
        if any(code.ref is not None for code in core.session_table.codes._codes.values()):
            found.append(f"{one.name}: a code is still bound to a request")
        if any(server.streams or server.buckets for server in module.servers.values()):
            found.append(f"{one.name}: the module's ledger still holds streams")
    for host in fleet.hosts:
        if host.up and not host.faults.vanished and host.model.streams:
            found.append(f"{host.name}: {len(host.model.streams)} streams left")
    return found


def explain(tap: Tap, violation: Violation, most: int = 14) -> list[str]:
    """Return the last `most` messages of a front on all its connections up to a violation, in order of time."""
    label = violation.front
    rows = []
    for kind, sides in (("viewer", tap.viewers), ("host", tap.hosts)):
        for side in sides:
            mine = (
                side.name == label.split(".")[0]
                if kind == "viewer"
                else any(label in (m.header("Via") or "") for _, _, m in side.messages if isinstance(m, Request))
            )
            if not mine:
                continue
            for time, ours, message in side.messages:
                if time <= violation.time:
                    what = f"{message.method} {message.uri}" if isinstance(message, Request) else str(message.status)
                    arrow = "->" if ours == (kind == "viewer") else "<-"
                    rows.append(
                        (
                            time,
                            f"{time / 1e9:10.4f} {kind:6} {side.name:8} {arrow} {what} "
                            f"CSeq {message.header('CSeq')}",
                        )
                    )
    return [text for _, text in sorted(rows)[-most:]]


def verdict(seed: int) -> dict[str, object]:
    """Run a seed and return the result as a JSON object, for sweeps over many seeds."""
    scenario = draw(seed)
    result = run_scenario(scenario)
    return {
        "seed": seed,
        "breaks": [f"rule {b.rule} at {b.time / 1e9:.4f} s by {b.front}: {b.text}" for b in result.violations[:3]],
        "left": result.leftovers[:4],
        "faults": [f for v in result.visits for f in v.faults][:3],
        "requests": len(result.visits),
        "attempts": len(result.attempts),
        "trace": result.summary["trace"],
        "kinds": sorted({s.kind for s in scenario.rehearsal.faults}),
    }


Verdicts = Callable[[dict[str, object]], None]
