"""One client, by hand: ask a proxy for a connection, send a line and print what came."""

from __future__ import annotations

import sys

from ironmill.net.sockets import TimedOutError
from ironmill.scheduler import Scheduler
from ironmill_lab.fleet import Client, NotServedError, play

LIMIT = 15.0  # seconds


def run(address: str, token: str, class_name: str) -> int:
    """Status 0 if the connection was served and its line came back, 1 if not."""
    host, _, port = address.rpartition(":")
    shown = sys.stdin.readline() if token == "-" else token
    scheduler = Scheduler()
    client = Client(scheduler, (host, int(port)), class_name)

    def story() -> int:
        try:
            client.open(token=shown.strip().encode())
            print(f"UP at {client.host}; a line came back: {client.ask(b'hello').decode()}")
        except NotServedError as error:
            print(str(error) or "closed without an answer")
            return 1
        except (OSError, TimedOutError) as error:
            print(f"no answer: {error}")
            return 1
        finally:
            client.close()
        return 0

    status: int = play(scheduler, story, LIMIT)
    return status
