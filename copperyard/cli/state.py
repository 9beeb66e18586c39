"""`copperyard state`: inspect a gateway's state on disk, also while it is stopped. Only `compact` writes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import trio
import typer

from ..gateway.disk import FolderDisk, LockedError
from ..state.durable_state import DurableState
from ..state.journal_writer import JournalWriter
from ..state.recovery import Recovery, recover

state = typer.Typer(no_args_is_help=True, help="What a gateway keeps on disk: its codes, its last list.")
Folder = Annotated[Path, typer.Argument(help="The gateway's own folder of state.", metavar="FOLDER")]


def _recover(folder: Path) -> Recovery:
    if not folder.is_dir():
        typer.echo(f"{folder}: no folder", err=True)
        raise typer.Exit(2)
    disk = FolderDisk(folder)
    try:
        return recover(disk.names(), disk.read)
    except OSError as error:
        typer.echo(f"{folder}: {error}", err=True)
        raise typer.Exit(2) from None


def _summary(recovery: Recovery) -> dict[str, Any]:
    stored = recovery.state
    body = json.loads(stored.body) if stored.body else {}
    return {
        "codes": len(stored.codes),
        "unclear": len(stored.unclear()),
        "lives": stored.lives,
        "label": stored.label,
        "settings": stored.generation,
        "planned_end": stored.ended,
        "service_s": round(stored.service_time / 1e9, 3),
        "list_generation": body.get("generation"),
        "hosts": len(body.get("hosts", [])),
        "snapshot": recovery.snapshot or None,
        "replayed": recovery.replayed,
        "sequence": recovery.sequence,
        "files": [name for name in recovery.files if name != "lock"],
    }


@state.command()
def show(folder: Folder) -> None:
    """Print what the state comes to, as JSON."""
    recovery = _recover(folder)
    typer.echo(json.dumps(_summary(recovery), indent=2))
    if recovery.newer:
        raise typer.Exit(1)


@state.command()
def verify(folder: Folder) -> None:
    """Read all of it; a line for whatever was not used. Exit 1 where a gateway would not start on it."""
    recovery = _recover(folder)
    for one in recovery.dropped:
        typer.echo(f"{one.name}: {one.text}{' (facts may be missing)' if one.harm else ' (no harm)'}")
    refusal = recovery.refusal(False)
    typer.echo(
        f"{folder}: {recovery.replayed} records over {recovery.snapshot or 'no snapshot'}, "
        f"{len(recovery.state.codes)} codes: {'good' if refusal is None else 'not to be started on'}"
    )
    if refusal is not None:
        raise typer.Exit(1)


@state.command()
def compact(folder: Folder) -> None:
    """Write a snapshot and remove what it stands for. Refused while a gateway runs on the folder, and on damage."""
    disk = FolderDisk(folder)
    if not folder.is_dir():
        typer.echo(f"{folder}: no folder", err=True)
        raise typer.Exit(2)
    try:
        disk.lock("copperyard state compact")
    except LockedError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from None
    try:
        recovery = _recover(folder)
        refusal = recovery.refusal(False)
        if refusal is not None:
            typer.echo(f"{folder}: {refusal}", err=True)
            raise typer.Exit(1)
        before = _size(folder)
        trio.run(_compact, recovery, disk)
        typer.echo(f"{folder}: {before} bytes before, {_size(folder)} now")
    except OSError as error:
        typer.echo(f"{folder}: {error}", err=True)
        raise typer.Exit(1) from None
    finally:
        disk.close()


def _size(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir() if path.is_file())


async def _compact(recovery: Recovery, disk: FolderDisk) -> None:
    """Write a snapshot and remove the files that it replaces."""
    writer = JournalWriter(recovery, recovery.state.label, recovery.state.generation, 0, 0, begins=False)
    writer.compact()
    for queue, step in _steps(writer):
        await disk.do(step)
        writer.done(queue, 0)


def _steps(writer: JournalWriter) -> Iterator[tuple[str, Any]]:
    while True:
        step = writer.commit_step(0)
        if step is not None:
            yield "commit", step
            continue
        step = writer.background_step(0)
        if step is None:
            return
        yield "chore", step


@state.command()
def export(
    folder: Folder, out: Annotated[Path, typer.Argument(help="A file .jsonl or .parquet; it must not exist.")]
) -> None:
    """Write a row for each code: its digest, fate, receipt, request, host, service time in s."""
    if out.suffix not in (".jsonl", ".parquet"):
        typer.echo(f"{out}: neither .jsonl nor .parquet", err=True)
        raise typer.Exit(2)
    rows = _rows(_recover(folder).state)
    try:
        if out.suffix == ".jsonl":
            with open(out, "x", encoding="utf-8") as target:
                count = sum(1 for row in rows if target.write(json.dumps(row) + "\n"))
        else:
            count = _parquet(out, rows)
    except OSError as error:
        typer.echo(f"{out}: {error.strerror or error}", err=True)
        raise typer.Exit(1) from None
    typer.echo(f"{out}: {count} codes")


def _rows(stored: DurableState) -> Iterator[dict[str, Any]]:
    for code, record in stored.codes.items():
        fate = "unclear" if record.receipt is None else "redeemed"
        yield {
            "code": code.hex(),
            "fate": fate,
            "receipt": record.receipt,
            "request": record.request,
            "host": record.host,
            "service_s": record.at / 1e9,
        }


def _parquet(out: Path, rows: Iterator[dict[str, Any]]) -> int:
    try:
        import pyarrow
        import pyarrow.parquet
    except ImportError:
        typer.echo("Parquet needs the extra 'lab' (pyarrow)", err=True)
        raise typer.Exit(2) from None
    if out.exists():
        raise FileExistsError(17, "exists")
    text = pyarrow.string()
    schema = pyarrow.schema(
        [
            ("code", text),
            ("fate", text),
            ("receipt", text),
            ("request", text),
            ("host", text),
            ("service_s", pyarrow.float64()),
        ]
    )
    count, batch_size = 0, 50_000
    with pyarrow.parquet.ParquetWriter(out, schema) as writer:
        batch: list[dict[str, Any]] = []
        for row in rows:
            batch.append(row)
            count += 1
            if len(batch) == batch_size:
                writer.write_table(pyarrow.Table.from_pylist(batch, schema))
                batch.clear()
        writer.write_table(pyarrow.Table.from_pylist(batch, schema))
    return count
