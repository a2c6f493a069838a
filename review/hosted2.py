"""Stand-ins of the second review for the parts of the project that are on by setting."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from pathlib import Path

from standins2 import HOST, ROOT, Proxy, Record, free_port, run_command

PYTHON = str(ROOT / "build" / "review-2" / "bin" / "python")
IRONMILL = (PYTHON, "-m", "ironmill")
NAMESPACE = "urn:ironmill:settings:1"
IDENTITY = (
    '<identity keys="keys/ring.json" skew="1s">'
    '<caller name="farms" tenant="community">'
    '<token issuer="https://issuer.example" audience="ironmill" subject="farm-*"/>'
    "</caller></identity>"
)


def hosted_command(settings: Path) -> str:
    """Returns the deploy file's ``run`` with operators' settings, in the environment that has the extra."""
    return run_command().replace(".venv/bin/python", PYTHON) + f" --settings={settings}"


async def ironmill(record: Record, *arguments: str) -> tuple[int, str]:
    """Runs one of the operators' commands; returns its exit status and output."""
    process = await asyncio.create_subprocess_exec(
        *IRONMILL,
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    text = output.decode().strip()
    if arguments[0] != "token":
        command = " ".join(item for item in arguments if not item.startswith("--store="))
        first_line = text.partition("\n")[0] if arguments[0] == "keys" and arguments[1] != "list" else text
        shown = first_line.partition(";")[0].replace("\n", " | ")
        record.add(f"ironmill {command}: status {process.returncode}: {shown}")
    return process.returncode or 0, text


class Keys:
    """A key store, and tokens of one caller."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Creates no key yet."""
        self.record = record
        self.store = f"--store={folder / 'keys'}"

    async def command(self, *arguments: str) -> None:
        """Runs ``ironmill keys``, which must succeed."""
        status, text = await ironmill(self.record, "keys", *arguments, self.store)
        if status:
            raise RuntimeError(text)

    async def token(self, subject: str) -> str:
        """Returns a new token that the ring's signing key signs."""
        status, text = await ironmill(
            self.record,
            "token",
            "issue",
            subject,
            self.store,
            "--audience=ironmill",
            "--issuer=https://issuer.example",
        )
        if status:
            raise RuntimeError(text)
        return text


async def call(record: Record, proxy: Proxy, token: str) -> str:
    """Opens a connection with the token; returns the proxy's answer."""
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    connection = secrets.token_hex(8)
    line = f"OPEN {connection} {secrets.token_hex(8)} c=index-sync,d=2000"
    writer.write(f"AUTH {token}\r\n{line}\r\n".encode())
    answer = (await asyncio.wait_for(reader.readline(), 10.0)).decode().rstrip("\r\n")
    record.add(f"caller sent AUTH and {line}, answer {answer!r}")
    writer.close()
    return answer


class Control:
    """A control machine: the origin ``c0`` or the relay ``c1``."""

    def __init__(self, record: Record, folder: Path, name: str) -> None:
        """Chooses its addresses; ``start`` starts the process."""
        self.record, self.folder, self.name = record, folder, name
        self.datagrams, self.admin = free_port(), f"{HOST}:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *IRONMILL,
                "control",
                self.name,
                f"--settings={self.folder / self.name}.xml",
                f"--staff={self.admin}",
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"control machine {self.name} started")

    async def kill(self) -> None:
        """Kills the process if it runs."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
            self.record.add(f"control machine {self.name} killed")


def write_settings(folder: Path, controls: list[Control], proxy: str) -> Path:
    """Writes the settings of the control machines and of one proxy; returns the path of the latter."""
    keys = folder / "distribution.keys"
    keys.write_text(secrets.token_hex(32) + "\n")
    keys.chmod(0o600)
    listed = "".join(
        f'<control name="{control.name}" address="{HOST}:{control.datagrams}" zone="hall-a" region="south"'
        f"{' origin=' + chr(34) + 'true' + chr(34) if control.name == 'c0' else ''}/>"
        for control in controls
    )
    roles = {"c0": ' role="origin" store="revisions.db"', "c1": ' role="relay"', proxy: ""}
    ports = {control.name: control.datagrams for control in controls} | {proxy: free_port()}
    for name, role in roles.items():
        identity = IDENTITY if name == proxy else ""
        (folder / f"{name}.xml").write_text(
            f'<ironmill xmlns="{NAMESPACE}"><log form="json"/>{identity}'
            f'<distribution cluster="registry" listen="{HOST}:{ports[name]}" keys="distribution.keys"{role} '
            f'zone="hall-a" region="south">{listed}</distribution></ironmill>'
        )
    return folder / f"{proxy}.xml"
