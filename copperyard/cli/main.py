"""`copperyard`: check settings, run a gateway, and run rehearsals in the lab."""

from __future__ import annotations

import json
import random
import secrets
import time
from dataclasses import replace
from typing import Annotated

import trio
import typer

from ..gateway.daemon import Gateway, GatewayConfig, StateRefusedError
from ..gateway.disk import FolderDisk
from ..gateway.listing import parse_list_url
from ..gateway.net import TcpNetwork, now
from ..gateway.node.__main__ import main as run_node
from ..gateway.peers.place import peer_settings
from ..telemetry.logs import LogWriter
from .common import LogFormat, SettingsPath, load_site, parse_seconds, wait_for_end
from .lab import lab
from .state import state

app = typer.Typer(no_args_is_help=True, add_completion=False, help="A session front for streamed video.")
app.add_typer(lab, name="lab")
app.add_typer(state, name="state")


@app.command()
def check(path: SettingsPath) -> None:
    """Check settings; report every mistake with its line."""
    site = load_site(path)
    typer.echo(
        f"{path}: {len(site.gateways)} gateways, {len(site.rules.settings.classes)} classes, "
        f"{len(site.titles)} titles: good"
    )


@app.command()
def serve(
    path: SettingsPath,
    name: Annotated[str | None, typer.Option(help="Which gateway of the site; by default the first one.")] = None,
    drain: Annotated[str, typer.Option(help="How long sessions may continue after the first signal.")] = "30s",
    accept_loss: Annotated[bool, typer.Option(help="Start although the state on disk is damaged.")] = False,
    trust_votes: Annotated[bool, typer.Option(help="Trust that a voter's folder is its newest.")] = False,
    log: LogFormat = "json",
) -> None:
    """Run one gateway until SIGINT or SIGTERM; then accept nothing new and let sessions end."""
    site = load_site(path)
    gateway_settings = next((g for g in site.gateways if name in (None, g.name)), None)
    if gateway_settings is None:
        typer.echo(f"{path}: no gateway is named '{name}'", err=True)
        raise typer.Exit(2)
    logs, drain_s, list_url = LogWriter(log), parse_seconds(drain), site.list_url

    async def main() -> None:
        nonlocal site
        # the clocks of the machines are synchronized; the offset is taken once and kept while this process runs
        rules = site.rules_for(gateway_settings.name, time.time_ns() - now())
        config = GatewayConfig(
            gateway_settings.name,
            gateway_settings.listen,
            rules,
            site.catalogue(),
            site.zones,
            parse_list_url(site.list_url, site.list_wait, site.list_timeout),
        )
        unix_ms = time.time_ns() // 1_000_000
        if site.common is not None:
            peer_config = peer_settings(site.common, gateway_settings.name, path.parent, trust_votes)
            config = replace(
                config, peer_settings=peer_config, session_lengths=site.common.session_lengths, unix_ms=unix_ms
            )
        if site.state is not None:
            disk = FolderDisk(path.parent / site.state.folder / gateway_settings.name)
            config = replace(config, disk=disk, generation=site.state.generation, accept_loss=accept_loss)
        del site  # frees the names of all gateways, of which this one needs few
        gateway = Gateway(config, TcpNetwork(), secrets.randbits(64), random.SystemRandom(), logs)

        async def shutdown() -> None:
            logs("draining", {"front": gateway_settings.name})
            await gateway.drain(drain_s)

        async with trio.open_nursery() as nursery:
            address = await nursery.start(gateway.run)
            await nursery.start(wait_for_end, nursery, float("inf"), shutdown)
            peers = {"peers": gateway.peer_service.links.address} if gateway.peer_service is not None else {}
            typer.echo(json.dumps({"event": "ready", "gateways": [f"rtsp://{address}"], "list": list_url, **peers}))

    try:
        trio.run(main)
    except* StateRefusedError as refused:
        typer.echo(
            f"{path}: the state of '{gateway_settings.name}' must not be started on: {refused.exceptions[0]}; "
            "see 'copperyard state verify', or start with --accept-loss",
            err=True,
        )
        raise typer.Exit(3) from None
    except* OSError as error:
        typer.echo(f"{path}: cannot serve: {error.exceptions[0]}", err=True)
        raise typer.Exit(1) from None


@app.command()
def node() -> None:
    """Run one node on the platform's protocol, configured by NODE_NAME, NODE_LISTEN and NODE_CONFIG."""
    raise typer.Exit(run_node())


if __name__ == "__main__":
    app()
