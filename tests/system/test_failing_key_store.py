"""Tests of the key store with failing or interrupted writes, and of the ring watcher with failing reads."""

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
    """Returns a replacement for fsync(2) whose call number ``failing_call`` fails, counted from 1."""
    call_count = 0

    def sync(_: int) -> None:
        nonlocal call_count
        call_count += 1
        if call_count == failing_call:
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    return sync


@pytest.mark.parametrize("failing_call", [1, 2, 3, 4])
def test_key_is_created_by_a_second_try_after_a_failed_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing_call: int
) -> None:
    """Guards against a leftover private key that makes the store reject its key id permanently."""
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


def test_failed_sync_is_reported_on_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(os, "fsync", failing_sync(1))
    assert main(["keys", "new", "k1", f"--store={tmp_path}"]) != 0
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_files_left_by_a_killed_command_do_not_block_the_next_one(tmp_path: Path) -> None:
    """Guards against file names that collide if the next command has the process ID of the killed one.

    In a container the process IDs of successive commands are often equal.
    """
    store = KeyStore(tmp_path)
    store.new("k1", "EdDSA")
    for name in ("ring.json", "k2.pem"):
        (tmp_path / f".{name}.{os.getpid()}").write_bytes(b"half")
    store.new("k2", "EdDSA")
    promote(store, "k2", 0.0)
    assert store.ring().signing() is not None


def test_private_key_left_by_a_killed_command_is_reported_with_a_remedy(tmp_path: Path) -> None:
    store = KeyStore(tmp_path)
    store.new("k1", "EdDSA")
    (tmp_path / "k2.pem").write_bytes((tmp_path / "k1.pem").read_bytes())
    with pytest.raises(CommandError, match=r"the ring does not have.*k2\.pem"):
        store.new("k2", "EdDSA")


def test_ring_whose_read_failed_temporarily_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against accepting a retired key until the next change of the file."""
    keys, timers = Keys(tmp_path), FakeTimers(monkeypatch)
    loaded: list[KeyRing] = []
    watcher = KeyRingWatcher(timers, str(keys.path), loaded.append)
    watcher.start()
    timers.run(1.0)
    loaded.clear()
    original_read_bytes, error_codes = Path.read_bytes, [errno.EMFILE, errno.EIO]

    def read_bytes(path: Path) -> bytes:
        if path == keys.path and error_codes:
            code = error_codes.pop()
            raise OSError(code, os.strerror(code))
        return original_read_bytes(path)

    keys.new("c", "EdDSA")
    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    timers.run(2.0)
    assert [[key.kid for key in ring] for ring in loaded] == [["a", "b", "c"]]


def test_ring_that_changed_before_the_watcher_started_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against missing a change between the first read of the ring and the start of the watcher."""
    keys, timers = Keys(tmp_path), FakeTimers(monkeypatch)
    keys.ring()
    keys.new("c", "EdDSA")
    loaded: list[KeyRing] = []
    KeyRingWatcher(timers, str(keys.path), loaded.append).start()
    timers.run(1.0)
    assert [[key.kid for key in ring] for ring in loaded] == [["a", "b", "c"]]
