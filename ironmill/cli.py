"""A proxy for long-lived TCP connections.

Usage:
  ironmill serve [--config=FILE] [--settings=FILE] [--poller=NAME]
  ironmill check-config [--config=FILE] [--settings=FILE]
  ironmill keys new KID --store=DIR [--algorithm=NAME]
  ironmill keys list --store=DIR
  ironmill keys promote KID --store=DIR [--overlap=SPAN]
  ironmill keys retire KID --store=DIR [--after=SPAN]
  ironmill token issue SUBJECT --store=DIR --audience=NAME --issuer=NAME [--lifetime=SPAN] [--kid=KID]
  ironmill token inspect TOKEN
  ironmill caller explain TOKEN --settings=FILE [--config=FILE]
  ironmill members CONTROL [--watch]
  ironmill control NAME --settings=FILE --staff=HOST:PORT
  ironmill config push CONTROL [CHANGE...] [--file=JSON] [--author=NAME] [--note=TEXT]
                       [--expect=POSITION] [--wait] [--within=SPAN]
  ironmill config status CONTROL
  ironmill config history CONTROL [--most=COUNT]
  ironmill config revert CONTROL REVISION [--author=NAME] [--note=TEXT] [--expect=POSITION]
                         [--wait] [--within=SPAN]
  ironmill config wait CONTROL POSITION [--within=SPAN]
  ironmill version
  ironmill (-h | --help)

Options:
  --config=FILE     The configuration as JSON; without it, the file that PROXY_CONFIG names.
  --settings=FILE   The operators' settings as XML; without it, none.
  --poller=NAME     What waits on the sockets: epoll, or poll, which costs more the more
                    connections stand [default: epoll].
  --store=DIR       The folder of the key ring, and of private keys where tokens are issued.
  --algorithm=NAME  EdDSA or ES256 [default: EdDSA].
  --overlap=SPAN    How long the key that signed until now is accepted [default: 1h].
  --after=SPAN      When the key retires [default: 0s].
  --audience=NAME   Whom the token is for.
  --issuer=NAME     Who says so.
  --lifetime=SPAN   How long the token is good [default: 1h].
  --kid=KID         The key that signs, instead of the ring's signing one.
  --watch           Show the members again each time they change.
  --file=JSON       More changes: an object of keys, and of texts or null.
  --staff=HOST:PORT  Where staff call this control machine.
  --author=NAME     Who changes it; without it, who runs the command.
  --note=TEXT       Why.
  --expect=POSITION  Change nothing unless this is the newest revision.
  --wait            Come back once it is in force everywhere, or with status 1.
  --within=SPAN     How long to wait for that [default: 10s].
  --most=COUNT      How many revisions to show [default: 20].
  -h --help         Show this text.

serve runs one proxy in the foreground, check-config says whether serve would accept the
configuration; of a control machine, which has none, it reads the settings alone. What is not
fit for use ends either with status 2. A TOKEN
that is - is read from standard input, which keeps it out of the list of processes. CONTROL
is the staff's address of a running process, as HOST:PORT.

A CHANGE of configuration is KEY=VALUE, or KEY- to delete the key; all of one push come into
force together. A POSITION is EPOCH.NUMBER, as push tells it. config push, revert and wait end
with status 1 where a revision is kept and not in force everywhere in time.
"""

from __future__ import annotations

import os
import re
import sys
import time
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from ironmill import __version__
from ironmill.configuration.proxy_config import Config, load
from ironmill.configuration.units import duration
from ironmill.net.proxy import Proxy
from ironmill.net.signals import Signals
from ironmill.protocol.json_object import MalformedError
from ironmill.runtime import logs
from ironmill.runtime.scheduler import POLLERS
from ironmill.runtime.system_calls import retry_at_start

if TYPE_CHECKING:
    from ironmill.configuration.operator_files import OperatorFiles


DEFAULT_POLLER = "epoll"


def main(argv: Sequence[str] | None = None) -> int:
    """Run the sub-command; the exit status."""
    argv = list(sys.argv[1:] if argv is None else argv)
    if argv == ["serve"]:  # as the platform starts it; to read the usage for that takes a tenth of the start
        return _serve(None, None, DEFAULT_POLLER)
    from docopt import docopt

    words = docopt(__doc__, argv=argv)
    if words["version"]:
        print(f"ironmill {__version__}")
        return 0
    if words["serve"]:
        return _serve(words["--config"], words["--settings"], words["--poller"])
    if words["keys"] or words["token"]:
        return _keys_or_token(words)
    if words["members"]:
        return _members(words)
    if words["control"]:
        return _control(words["NAME"], words["--settings"], words["--staff"])
    if words["config"]:
        return _config(words)
    no_proxy = not words["--config"] and not os.environ.get("PROXY_CONFIG")
    if words["check-config"] and words["--settings"] and no_proxy:
        return _check_control(words["--settings"])
    read_all = read(os.environ, words["--config"], words["--settings"])
    if read_all is None:
        return 2
    config, operator = read_all
    if words["caller"]:
        from ironmill.commands.caller import explain

        assert operator is not None  # the usage asks for settings
        for line in explain(operator, _token(words), time.time()):
            print(line)
        return 0
    print(f"ironmill: the configuration of {config.name} is fit for use")
    if operator is not None:
        print(f"ironmill: the settings in {operator.settings.path} are fit for use")
    return 0


def _check_control(settings: str) -> int:
    """A control machine has settings and no configuration."""
    from ironmill.configuration.operator_files import read_operator_files

    try:
        distribution = read_operator_files(settings, ()).settings.distribution
        if distribution is None or distribution.role == "subscriber":
            load(os.environ)  # a proxy's, which are nothing without its configuration
    except MalformedError as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return 2
    print(f"ironmill: the settings in {settings} are fit for use")
    return 0


def _serve(path: str | None, settings: str | None, poller: str) -> int:
    signals = Signals()  # before the file is read: by default SIGHUP would end the process
    try:
        return serve(path, settings, signals, poller)
    finally:
        signals.close()


def _keys_or_token(words: Mapping[str, Any]) -> int:
    from pathlib import Path  # here, for a proxy needs none of it

    import orjson

    from ironmill.commands import keys

    try:
        store = keys.KeyStore(Path(words["--store"] or "."))
        if words["new"]:
            key = store.new(words["KID"], words["--algorithm"])
            print(f"{key.kid}: coming; private part in {store.private_path(key.kid)}")
        elif words["list"]:
            for key in store.ring():
                print(keys.describe(key, time.time()))
        elif words["promote"]:
            keys.promote(store, words["KID"], _span(words["--overlap"]))
        elif words["retire"]:
            keys.retire(store, words["KID"], _span(words["--after"]))
        elif words["issue"]:
            lifetime = _span(words["--lifetime"])
            token = keys.issue(
                store, words["SUBJECT"], words["--audience"], words["--issuer"], lifetime, words["--kid"]
            )
            print(token.decode())
        else:
            print(orjson.dumps(keys.inspect(_token(words)), option=orjson.OPT_INDENT_2).decode())
    except keys.CommandError as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return 2
    return 0


def _members(words: Mapping[str, Any]) -> int:
    from ironmill.commands import members  # here, for a proxy needs none of it
    from ironmill.configuration.proxy_config import address

    try:
        host, port = address(words["CONTROL"], "CONTROL")
        if words["--watch"]:
            lines = members.watch_view(host, port)
        else:
            lines = members.format_view(members.fetch_view(host, port))
        for line in lines:
            print(line, flush=True)
    except (members.MembersError, MalformedError) as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    return 0


def _control(name: str, settings: str, staff: str) -> int:
    from ironmill.configuration.operator_files import read_operator_files
    from ironmill.configuration.proxy_config import address

    try:
        operator, at = read_operator_files(settings, ()), address(staff, "--staff")
    except MalformedError as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return 2
    from ironmill.net.control_machine import serve as serve_control

    return serve_control(name, operator, at)


def _config(words: Mapping[str, Any]) -> int:
    from ironmill.commands import config  # here, for a proxy needs none of it
    from ironmill.commands.keys import CommandError
    from ironmill.configuration.proxy_config import address

    try:
        control = address(words["CONTROL"], "CONTROL")
        within = _span(words["--within"])
        if words["status"] or words["history"]:
            shown = (
                config.table(config.status(control))
                if words["status"]
                else (config.history(control, words["--most"]))
            )
            for line in shown:
                print(line)
            return 0
        if words["push"] or words["revert"]:
            author = config.author() if words["--author"] is None else words["--author"]
            about = author, words["--note"] or "", words["--expect"] or ""
            if words["push"]:
                changes = config.read_changes(words["CHANGE"], words["--file"])
                position = config.push(control, changes, *about)
            else:
                position = config.revert(control, words["REVISION"], *about)
            print(f"{position} is kept", flush=True)
            if not words["--wait"]:
                return 0
        else:
            position = config.to_position(words["POSITION"])
        lines = config.wait(control, position, within)
        while True:
            try:
                print(next(lines), flush=True)
            except StopIteration as end:
                status: int = end.value
                return status
    except (config.ConfigError, CommandError, MalformedError) as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 2


def _token(words: Mapping[str, Any]) -> bytes:
    text: str = words["TOKEN"]
    return (sys.stdin.readline() if text == "-" else text).strip().encode()


def _span(text: str) -> float:
    from ironmill.commands.keys import CommandError

    if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,6})?(ms|s|m|h|d)", text) is None:
        raise CommandError(f"{text!r} is no span; it is a number and ms, s, m, h or d, as in 90s")
    return duration(text)


def read(
    env: Mapping[str, str], path: str | None, settings: str | None
) -> tuple[Config, OperatorFiles | None] | None:
    """The configuration and the settings, or one line on what is wrong with them."""
    try:
        config = retry_at_start(load, env, path)
        return config, operator_of(config, settings)
    except MalformedError as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return None


def operator_of(config: Config, settings: str | None) -> OperatorFiles | None:
    """What the settings file says, None where none is named; MalformedError if it is not fit for use."""
    if settings is None:
        return None
    from ironmill.configuration.operator_files import (
        read_operator_files,
    )  # here, for what is off is not imported

    operator = read_operator_files(settings, config.wait_limits)
    distribution = operator.settings.distribution
    if distribution is not None and distribution.role != "subscriber":
        raise MalformedError(
            f"{settings}: distribution's role is {distribution.role!r}, which is a control machine's; "
            "a proxy is a subscriber"
        )
    return operator


def serve(path: str | None, settings: str | None, signals: Signals, poller: str) -> int:
    """Run one proxy until it is told to end."""
    if poller not in POLLERS:
        print(f"ironmill: --poller is one of {', '.join(POLLERS)}, not {poller!r}", file=sys.stderr)
        return 2
    read_all = read(os.environ, path, settings)
    if read_all is None:
        return 2
    config, operator = read_all
    logs.set_up(config.name, None if operator is None else operator.settings.log)
    # At SIGHUP the file's address of discovery holds: what the variable named at the start is gone.
    later = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    try:
        proxy = Proxy(
            config,
            signals,
            lambda: load(later, path),
            poller,
            operator,
            lambda new: operator_of(new, settings),
        )
    except OSError as error:
        print(f"ironmill: listen: {error}", file=sys.stderr)
        return 2
    proxy.serve()
    return 0
