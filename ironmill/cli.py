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
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from ironmill import __version__
from ironmill.configuration.proxy_config import Config, load_config
from ironmill.configuration.units import parse_duration
from ironmill.net.proxy import Proxy, ProxyOptions
from ironmill.net.signals import Signals
from ironmill.protocol.json_object import MalformedError
from ironmill.runtime import logs
from ironmill.runtime.scheduler import POLLERS
from ironmill.runtime.system_calls import retry_at_start

if TYPE_CHECKING:
    from ironmill.commands.keys import KeyStore
    from ironmill.configuration.operator_files import OperatorFiles
    from ironmill.distribution.revision import Position

# Modules that only some commands need are imported in those commands, so a proxy starts without loading them.

DEFAULT_POLLER = "epoll"
EXIT_OK, EXIT_INVALID = 0, 2

Arguments = Mapping[str, Any]


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the sub-command and returns the exit status."""
    argv = list(sys.argv[1:] if argv is None else argv)
    if argv == ["serve"]:  # run by the platform; parsing the usage would take a tenth of the start time
        return _serve_with_signals(None, None, DEFAULT_POLLER)
    from docopt import docopt

    arguments = docopt(__doc__, argv=argv)
    for name, command in _COMMANDS.items():
        if arguments[name]:
            return command(arguments)
    raise AssertionError("docopt accepted a command without a handler")


def _fail(error: object) -> int:
    print(f"ironmill: {error}", file=sys.stderr)
    return EXIT_INVALID


def _version_command(_: Arguments) -> int:
    print(f"ironmill {__version__}")
    return EXIT_OK


# Proxies and control machines


def _serve_command(arguments: Arguments) -> int:
    return _serve_with_signals(arguments["--config"], arguments["--settings"], arguments["--poller"])


def _serve_with_signals(config_path: str | None, settings_path: str | None, poller: str) -> int:
    # Created before the files are read, so that a SIGHUP after the read is not missed.
    signals = Signals()
    try:
        return serve(config_path, settings_path, signals, poller)
    finally:
        signals.close()


def serve(config_path: str | None, settings_path: str | None, signals: Signals, poller: str) -> int:
    """Runs one proxy until shutdown and returns the exit status."""
    if poller not in POLLERS:
        return _fail(f"--poller must be one of {', '.join(POLLERS)}, not {poller!r}")
    config_and_files = read_proxy_input(os.environ, config_path, settings_path)
    if config_and_files is None:
        return EXIT_INVALID
    config, files = config_and_files
    logs.set_up(config.name, None if files is None else files.settings.log)
    # PROXY_DISCOVERY applies only to the start: a reload takes the address of discovery from the file.
    reload_environment = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    options = ProxyOptions(
        config,
        lambda: load_config(reload_environment, config_path),
        files,
        lambda new_config: read_proxy_files(new_config, settings_path),
        poller,
    )
    try:
        proxy = Proxy(options, signals)
    except OSError as error:
        return _fail(f"listen: {error}")
    proxy.serve()
    return EXIT_OK


def read_proxy_input(
    environment: Mapping[str, str], config_path: str | None, settings_path: str | None
) -> tuple[Config, OperatorFiles | None] | None:
    """Reads the configuration and the settings; prints one line and returns None if either is invalid."""
    try:
        config = retry_at_start(load_config, environment, config_path)
        return config, read_proxy_files(config, settings_path)
    except MalformedError as error:
        _fail(error)
        return None


def read_proxy_files(config: Config, settings_path: str | None) -> OperatorFiles | None:
    """Reads a proxy's settings and the files that they name; returns None without a path of settings.

    Raises ``MalformedError``.
    """
    if settings_path is None:
        return None
    from ironmill.configuration.operator_files import read_operator_files

    files = read_operator_files(settings_path, config.default_deadlines_s)
    distribution = files.settings.distribution
    if distribution is not None and distribution.role != "subscriber":
        raise MalformedError(
            f"{settings_path}: the role of distribution is {distribution.role!r}, which is for control "
            "machines; a proxy must have the role 'subscriber'"
        )
    return files


def _control_command(arguments: Arguments) -> int:
    from ironmill.configuration.operator_files import read_operator_files
    from ironmill.configuration.proxy_config import parse_address

    try:
        files = read_operator_files(arguments["--settings"], ())
        admin_address = parse_address(arguments["--staff"], "--staff")
    except MalformedError as error:
        return _fail(error)
    from ironmill.net import control_machine

    return control_machine.serve(arguments["NAME"], files, admin_address)


def _check_config_command(arguments: Arguments) -> int:
    settings_path = arguments["--settings"]
    if settings_path and not arguments["--config"] and not os.environ.get("PROXY_CONFIG"):
        return _check_control_machine_settings(settings_path)
    config_and_files = read_proxy_input(os.environ, arguments["--config"], settings_path)
    if config_and_files is None:
        return EXIT_INVALID
    config, files = config_and_files
    print(f"ironmill: the configuration of {config.name} is valid")
    if files is not None:
        print(f"ironmill: the settings in {files.settings.path} are valid")
    return EXIT_OK


def _check_control_machine_settings(settings_path: str) -> int:
    """Checks the settings of a control machine, which has no configuration."""
    from ironmill.configuration.operator_files import read_operator_files

    try:
        distribution = read_operator_files(settings_path, ()).settings.distribution
        if distribution is None or distribution.role == "subscriber":
            load_config(
                os.environ
            )  # raises MalformedError: a proxy's settings are valid only with a configuration
    except MalformedError as error:
        return _fail(error)
    print(f"ironmill: the settings in {settings_path} are valid")
    return EXIT_OK


# Keys, tokens and callers


def _key_store_command(arguments: Arguments) -> int:
    from pathlib import Path

    from ironmill.commands.errors import CommandError
    from ironmill.commands.keys import KeyStore

    try:
        store = KeyStore(Path(arguments["--store"] or "."))
        if arguments["token"]:
            _token_command(store, arguments)
        else:
            _keys_command(store, arguments)
    except CommandError as error:
        return _fail(error)
    return EXIT_OK


def _keys_command(store: KeyStore, arguments: Arguments) -> None:
    from ironmill.commands import keys

    if arguments["new"]:
        key = store.new(arguments["KID"], arguments["--algorithm"])
        print(f"{key.kid}: created in state coming; private key in {store.private_path(key.kid)}")
    elif arguments["list"]:
        for key in store.ring():
            print(keys.describe(key, time.time()))
    elif arguments["promote"]:
        keys.promote(store, arguments["KID"], _parse_duration(arguments["--overlap"]))
    else:
        keys.retire(store, arguments["KID"], _parse_duration(arguments["--after"]))


def _token_command(store: KeyStore, arguments: Arguments) -> None:
    import orjson

    from ironmill.commands import tokens

    if arguments["issue"]:
        request = tokens.TokenRequest(
            subject=arguments["SUBJECT"],
            audience=arguments["--audience"],
            issuer=arguments["--issuer"],
            lifetime_s=_parse_duration(arguments["--lifetime"]),
        )
        print(tokens.issue(store, request, arguments["--kid"]).decode())
    else:
        print(orjson.dumps(tokens.inspect(_read_token(arguments)), option=orjson.OPT_INDENT_2).decode())


def _caller_command(arguments: Arguments) -> int:
    config_and_files = read_proxy_input(os.environ, arguments["--config"], arguments["--settings"])
    if config_and_files is None:
        return EXIT_INVALID
    from ironmill.commands.caller import explain

    _, files = config_and_files
    assert files is not None  # docopt requires --settings for this command
    for line in explain(files, _read_token(arguments), time.time()):
        print(line)
    return EXIT_OK


def _read_token(arguments: Arguments) -> bytes:
    text: str = arguments["TOKEN"]
    return (sys.stdin.readline() if text == "-" else text).strip().encode()


# Clients of the admin API


def _members_command(arguments: Arguments) -> int:
    from ironmill.commands import members
    from ironmill.configuration.proxy_config import parse_address

    try:
        host, port = parse_address(arguments["CONTROL"], "CONTROL")
        if arguments["--watch"]:
            lines = members.watch_view(host, port)
        else:
            lines = members.format_view(members.fetch_view(host, port))
        for line in lines:
            print(line, flush=True)
    except (members.MembersError, MalformedError) as error:
        return _fail(error)
    except KeyboardInterrupt:
        return EXIT_OK
    return EXIT_OK


def _config_command(arguments: Arguments) -> int:
    from ironmill.commands.config import ConfigError
    from ironmill.commands.errors import CommandError

    try:
        return _run_config_command(arguments)
    except (ConfigError, CommandError, MalformedError) as error:
        return _fail(error)
    except KeyboardInterrupt:
        return EXIT_INVALID


def _run_config_command(arguments: Arguments) -> int:
    from ironmill.commands import config
    from ironmill.commands.config_status import status_table
    from ironmill.configuration.proxy_config import parse_address

    control = parse_address(arguments["CONTROL"], "CONTROL")
    within_s = _parse_duration(arguments["--within"])
    if arguments["status"]:
        return _print_lines(status_table(config.status(control)))
    if arguments["history"]:
        return _print_lines(config.history(control, arguments["--most"]))
    if arguments["wait"]:
        position = config.to_position(arguments["POSITION"])
    else:
        position = _write_config(control, arguments)
        print(f"{position} is stored", flush=True)
        if not arguments["--wait"]:
            return EXIT_OK
    lines = config.wait(control, position, within_s)
    while True:
        try:
            print(next(lines), flush=True)
        except StopIteration as end:
            status: int = end.value
            return status


def _write_config(control: tuple[str, int], arguments: Arguments) -> Position:
    from ironmill.commands import config

    authorship = config.Authorship(
        config.current_user() if arguments["--author"] is None else arguments["--author"],
        arguments["--note"] or "",
        arguments["--expect"] or "",
    )
    if arguments["push"]:
        changes = config.read_changes(arguments["CHANGE"], arguments["--file"])
        return config.push(control, changes, authorship)
    return config.revert(control, arguments["REVISION"], authorship)


def _print_lines(lines: Iterable[str]) -> int:
    for line in lines:
        print(line)
    return EXIT_OK


def _parse_duration(text: str) -> float:
    """Parses a duration of the command line into seconds. Raises ``CommandError``."""
    from ironmill.commands.errors import CommandError

    if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,6})?(ms|s|m|h|d)", text) is None:
        raise CommandError(
            f"{text!r} is not a duration; expected a number and a unit (ms, s, m, h or d), for example 90s"
        )
    return parse_duration(text)


_COMMANDS: dict[str, Callable[[Arguments], int]] = {
    "version": _version_command,
    "serve": _serve_command,
    "keys": _key_store_command,
    "token": _key_store_command,
    "members": _members_command,
    "control": _control_command,
    "config": _config_command,
    "check-config": _check_config_command,
    "caller": _caller_command,
}
