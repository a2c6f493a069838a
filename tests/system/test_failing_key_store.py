"""The key store where writes and syncs fail or are cut off, and the watcher of the ring where reads fail."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from ironmill.cli import main
from ironmill.commands.errors import CommandError
from ironmill.commands.keys import KeyStore, promote
from ironmill.identity.keyring import KeyRing
from ironmill.net.key_ring_watcher import KeyRingWatcher
from tests.support.identity import Keys
from tests.support.requests import FakeTimers


def failing_sync(failing_call: int) -> Callable[[int], None]:
    """Returns a replacement of fsync(2) whose n-th call fails, counted from 1."""
    calls = 0

    def sync(_: int) -> None:
        nonlocal calls
        calls += 1
        if calls == failing_call:
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    return sync


@pytest.mark.parametrize("failing_call", [1, 2, 3, 4])
def test_key_is_created_by_a_second_try_after_a_failed_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing_call: int
) -> None:
    """A private key that was left behind made the store refuse its id for ever."""
    store = KeyStore(tmp_path)
    monkeypatch.setattr(os, "fsync", failing_sync(failing_call))
    with pytest.raises(CommandError, match="Input/output error"):
        store.new("k1", "EdDSA")
    if store.ring().get("k1") is None:
        store.new("k1", "EdDSA")
    promote(store, "k1", 0.0)
    signing = store.ring().signing()
    assert signing is not None
    assert store.private("k1").public_key() == signing.public_key
    assert sorted(path.name for path in tmp_path.iterdir()) == ["k1.pem", "ring.json"]


def test_failed_sync_is_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(os, "fsync", failing_sync(1))
    assert main(["keys", "new", "k1", f"--store={tmp_path}"]) != 0
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_files_that_a_killed_command_left_do_not_stop_the_next_one(tmp_path: Path) -> None:
    """The next command may have the number of the killed process, as in a container."""
    store = KeyStore(tmp_path)
    store.new("k1", "EdDSA")
    for name in ("ring.json", "k2.pem"):
        (tmp_path / f".{name}.{os.getpid()}").write_bytes(b"half")
    store.new("k2", "EdDSA")
    promote(store, "k2", 0.0)
    assert store.ring().signing() is not None


def test_private_key_of_a_killed_command_is_named_with_what_to_do(tmp_path: Path) -> None:
    store = KeyStore(tmp_path)
    store.new("k1", "EdDSA")
    (tmp_path / "k2.pem").write_bytes((tmp_path / "k1.pem").read_bytes())
    with pytest.raises(CommandError, match=r"the ring does not have.*k2\.pem"):
        store.new("k2", "EdDSA")


def test_ring_whose_read_failed_for_a_moment_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A retired key would otherwise be accepted until the next change of the file."""
    keys, timers = Keys(tmp_path), FakeTimers(monkeypatch)
    taken: list[KeyRing] = []
    watch = KeyRingWatcher(timers, str(keys.path), taken.append)
    watch.start()
    timers.run(1.0)
    taken.clear()
    real, failures = Path.read_bytes, [errno.EMFILE, errno.EIO]

    def read_bytes(path: Path) -> bytes:
        if path == keys.path and failures:
            code = failures.pop()
            raise OSError(code, os.strerror(code))
        return real(path)

    keys.new("c", "EdDSA")
    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    timers.run(2.0)
    assert [[key.kid for key in ring] for ring in taken] == [["a", "b", "c"]]


def test_ring_that_changed_before_the_watch_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The ring is read first and watched later: a change between the two counts."""
    keys, timers = Keys(tmp_path), FakeTimers(monkeypatch)
    keys.ring()
    keys.new("c", "EdDSA")
    taken: list[KeyRing] = []
    KeyRingWatcher(timers, str(keys.path), taken.append).start()
    timers.run(1.0)
    assert [[key.kid for key in ring] for ring in taken] == [["a", "b", "c"]]
