"""The writer: what is durable when, on disks that are slow, full, failing, or that die between any two operations."""

import random

import pytest

from copperyard.state.book import Append, Book, Create, Remove, Rename
from copperyard.state.facts import Carried, Cleared, Fact, Passed, Redeemed, digest
from copperyard.state.recovery import recover

SECOND = 1_000_000_000


class Folder:
    """Files with what is synced of them, driven step by step; a step is written and then synced."""

    def __init__(self):
        self.files, self.synced, self.log = {}, {}, []

    def do(self, step, half=False):
        self.log.append(step)
        if isinstance(step, Create):
            assert step.name not in self.files
            self.files[step.name] = step.data
            self.synced[step.name] = step.data
        elif isinstance(step, Append):
            self.files[step.name] += step.data[: len(step.data) // 2] if half else step.data
            if step.sync and not half:
                self.synced[step.name] = self.files[step.name]
        elif isinstance(step, Rename):
            self.files[step.to] = self.files.pop(step.name)
            self.synced[step.to] = self.synced.pop(step.name)
        else:
            self.files.pop(step.name, None)
            self.synced.pop(step.name, None)

    def recover(self, files=None):
        files = self.synced if files is None else files
        return recover(files, files.__getitem__)


def begin(folder=None, now=0):
    folder = folder or Folder()
    found = folder.recover(folder.files)
    return folder, Book(found, f"gw.{found.state.lives}", "g", now, 0)


def turn(folder, book, now=0, lanes=("commit", "chore")):
    """Carry out all steps that there are."""
    more = True
    while more:
        more = False
        for lane in lanes:
            step = getattr(book, lane)(now)
            if step is not None:
                folder.do(step)
                book.done(lane, now)
                more = True


def carried(n, at=1):
    return Carried(at, digest(str(n)), f"gw/{n}", "h")


def test_nothing_is_durable_before_its_sync_and_all_is_after_it():
    folder, book = begin()
    numbers = [book.write(0, carried(n)) for n in range(5)]
    assert not any(book.durable(n) for n in numbers)
    step = book.commit(0)
    assert isinstance(step, Create) and book.commit(0) is None  # one step out in a lane
    folder.do(step)
    assert not book.done("commit", 0)
    step = book.commit(0)
    late = book.write(0, carried(9))  # comes while the others are written: it is in the next group
    folder.do(step)
    assert book.done("commit", 0) and all(book.durable(n) for n in numbers) and not book.durable(late)
    turn(folder, book)
    assert book.durable(late) and book.tally.commits == 2 and book.tally.facts == 7
    assert len(folder.recover().state.codes) == 6


def test_a_life_follows_on_the_last_and_says_whether_it_ended_by_plan():
    folder, book = begin()
    book.write(0, carried(1))
    turn(folder, book)
    folder, book = begin(folder)
    assert not folder.recover().state.ended and len(book.state.codes) == 1
    last = book.close(5, (7, 8))
    turn(folder, book)
    assert book.durable(last)
    found = folder.recover()
    assert found.state.ended and found.state.spent == (7, 8) and found.state.lives == 2 and not found.dropped


def test_a_failed_sync_is_never_tried_again_and_all_goes_into_a_new_place():
    folder, book = begin()
    turn(folder, book)
    first = book.write(0, carried(1))
    step = book.commit(0)
    folder.do(step, half=True)
    book.failed("commit", "EIO", 0)
    assert not book.well and not book.durable(first) and book.commit(0) is None and book.chore(0) is None
    later = book.write(0, carried(2))
    folder.log.clear()
    turn(folder, book, now=SECOND)
    assert book.well and book.durable(later)
    assert step.name not in {s.name for s in folder.log if isinstance(s, Append)}  # the doubtful file is left alone
    found = folder.recover()
    assert set(found.state.codes) == {digest("1"), digest("2")} and not found.harm
    after = book.write(SECOND, carried(3))
    turn(folder, book, SECOND)
    assert book.durable(after) and len(folder.recover().state.codes) == 3


def test_a_disk_that_goes_on_failing_is_tried_more_and_more_rarely():
    folder, book = begin()
    tries, now = 0, 0
    while now < 200 * SECOND:
        for lane in ("commit", "chore"):
            if getattr(book, lane)(now) is not None:
                book.failed(lane, "ENOSPC", now)
                tries += 1
        now += SECOND // 2
    assert 5 < tries < 16 and not book.well
    number = book.write(now, carried(1))
    turn(folder, book, now + 40 * SECOND)
    assert book.well and book.durable(number) and len(folder.recover().state.codes) == 1


@pytest.mark.parametrize("end", ["done", "failed"])
@pytest.mark.parametrize("out", [Create, Append])
def test_what_waits_for_a_disk_that_hangs_is_bounded_and_nothing_is_lost(end, out, monkeypatch):
    monkeypatch.setattr("copperyard.state.book.MOST_WAITING", 2000)
    folder, book = begin()
    if out is Append:
        folder.do(book.commit(0))
        book.done("commit", 0)
    step = book.commit(0)
    assert isinstance(step, out)
    numbers = [book.write(0, carried(n)) for n in range(500)]  # the step hangs
    assert len(book._waiting) < 2200 and not book.well and book.chore(40 * SECOND) is None
    folder.do(step)
    if end == "done":
        book.done("commit", 50 * SECOND)
    else:
        book.failed("commit", "EIO", 50 * SECOND)
    assert not any(book.durable(n) for n in numbers)
    turn(folder, book, 99 * SECOND)
    assert book.well and all(book.durable(n) for n in numbers)
    found = folder.recover()
    assert len(found.state.codes) == 500 and not found.harm
    last = book.write(99 * SECOND, carried(777))
    turn(folder, book, 99 * SECOND)
    assert book.durable(last) and len(folder.recover().state.codes) == 501 and not folder.recover().harm


def test_a_failed_snapshot_or_removal_harms_no_commit():
    folder, book = begin()
    for n in range(50):
        book.write(0, carried(n))
    turn(folder, book)
    book.compact()
    step = book.chore(0)
    book.failed("chore", "EIO", 0)
    assert step is not None and book.well
    number = book.write(0, carried(99))
    turn(folder, book)
    assert book.durable(number) and len(folder.recover().state.codes) == 51


def test_a_snapshot_lets_old_files_go_and_leaves_what_came_since():
    folder, book = begin()
    for n in range(300):
        book.write(0, carried(n))
        if n % 2:
            book.write(0, Redeemed(2, digest(str(n)), "r"))
        if n % 3 == 0:
            book.write(0, Cleared(3, digest(str(n))))
        if n % 50 == 0:
            turn(folder, book)
            book.compact()
    book._size = 1 << 30  # the segment is full
    book.write(0, Passed(9))
    turn(folder, book)
    book.compact()
    turn(folder, book)
    assert len(folder.files) <= 3, list(folder.files)
    assert folder.recover().state.codes == book.state.codes and len(book.state.codes) == 200


def drive(rng, stop_at):
    """A life with snapshots, a failure and new segments, that dies before operation `stop_at`; what was promised
    durable, and the folder."""
    folder, book = begin()
    operations, promised, n = 0, {}, 0
    for turn_ in range(40):
        for _ in range(rng.randint(0, 3)):
            n += 1
            code = rng.randrange(12)
            one = rng.choice((carried(code, n), Redeemed(n, digest(str(code)), f"r{n}"), Cleared(n, digest(str(code)))))
            promised[book.write(turn_, one)] = one
        if turn_ in (11, 23):
            book.compact()
        if turn_ == 17:
            book._size = 1 << 30
        for lane in ("commit", "chore", "chore"):
            step = getattr(book, lane)(turn_ * SECOND)
            if step is None:
                continue
            operations += 1
            if operations == stop_at:
                folder.do(step, half=True) if isinstance(step, Append) else None
                return folder, book, promised, True
            if turn_ == 29 and lane == "commit":
                folder.do(step, half=True) if isinstance(step, Append) else None
                book.failed(lane, "EIO", turn_ * SECOND)
                continue
            folder.do(step)
            book.done(lane, turn_ * SECOND)
    return folder, book, promised, False


@pytest.mark.parametrize("seed", range(3))
def test_killed_before_and_within_every_operation_nothing_promised_is_lost(seed):
    points, stop_at, died = 0, 1, True
    while died:
        folder, book, promised, died = drive(random.Random(seed), stop_at)
        stop_at += 1
        if not died:
            break
        points += 1
        rng = random.Random(stop_at)
        cut = {}  # the machine went down: of what was not synced any part is there, or zeros
        for name, data in folder.files.items():
            safe = len(folder.synced.get(name, b""))
            some = data[: rng.randint(safe, len(data))] if len(data) > safe else data
            cut[name] = some + bytes(rng.choice((0, 0, len(data) - len(some))))
        for files in (folder.files, cut):
            found = folder.recover(files)
            assert not found.harm, (stop_at, found.dropped)
            # what was promised: the last durable fact of each code, or a newer one
            want: dict[bytes, list[tuple[bool, Fact]]] = {}
            for number, one in sorted(promised.items()):
                want.setdefault(one.code, []).append((book.durable(number), one))
            for code, told in want.items():
                durable = max((k for k, (safe, _) in enumerate(told) if safe), default=-1)
                allowed = [one for _, one in told[max(0, durable) :]]
                kept = found.state.codes.get(code)
                if kept is None:
                    assert durable < 0 or any(isinstance(one, Cleared) for one in allowed)
                else:
                    assert any(one.at == kept.at for one in allowed), (stop_at, kept, allowed)
            # and the next life can go on from there
            again, next_book = begin(_with(files))
            turn(again, next_book)
            assert again.recover().state.codes == found.state.codes and not again.recover().harm
    assert points > 30


def _with(files):
    folder = Folder()
    folder.files, folder.synced = dict(files), dict(files)
    return folder


def test_a_book_that_syncs_nothing_is_found_by_the_enumeration():
    # the ordering taken out: a fact is called durable once it is written, not once it is synced
    folder, book = begin()
    turn(folder, book)
    number = book.write(0, carried(1))
    step = book.commit(0)
    folder.do(Append(step.name, step.data, sync=False))
    book.done("commit", 0)
    assert book.durable(number) and not folder.recover().state.codes


def test_removals_never_go_ahead_of_the_rename():
    folder, book = begin()
    for n in range(20):
        book.write(0, carried(n))
    turn(folder, book)
    book.compact()
    turn(folder, book)
    kinds = [type(s) for s in folder.log]
    assert Rename in kinds
    part = [s for s in folder.log if isinstance(s, Remove) and not s.name.endswith(".part")]
    assert all(folder.log.index(s) > kinds.index(Rename) for s in part)
