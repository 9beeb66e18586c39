"""Processes of a laboratory run, as the system lists them."""

from pathlib import Path


def descendants(pid):
    """All descendants of a process."""
    found = []
    for place in Path("/proc").iterdir():
        if place.name.isdigit():
            try:
                parent = int((place / "stat").read_text().rpartition(")")[2].split()[1])
            except (OSError, IndexError):
                continue
            if parent == pid:
                found += [int(place.name), *descendants(int(place.name))]
    return found


def is_running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False
