"""Tests of the simulator adapter: the lines that it reads, writes and rejects as malformed."""

from __future__ import annotations

import io
import json
import os
import random
import subprocess
import sys
from types import SimpleNamespace
from typing import Any

import pytest

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import CheckHealth, HealthChecked, Idempotency, Outcome
from ironmill.configuration.site_settings import parse_settings
from ironmill.protocol.json_object import MalformedError
from ironmill.simulator.formatting import format_action
from ironmill.simulator.loop import main
from ironmill.simulator.parsing import EVENT_PARSERS

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "me": 0,
    "myZone": "a",
    "discovery": "push",
    "categories": [{"name": "read", "aimS": 0.3, "effect": "pure", "group": "all", "points": 1.0}],
    "ceilings": {"sendCap": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
    "rules": {"coldFrom": 0.3, "rampTimeS": 8.0, "fallMultiple": 3.0, "tipAfterS": 2.0, "drainGraceS": 1.0},
    "familyInfo": {"messageAimS": [0.1], "tenantQuotaConnections": [None]},
    "somethingNew": 5,
}


def endpoint_line(server_id: int, stage: str = "on") -> str:
    return f"M\tshape=x\tbackend={server_id}\tcampus=a\tpod=0\tstageState={stage}"


def configure_lines(proxy: int) -> list[str]:
    return [
        f"CONFIGURE\trelay={proxy}\trandomSeed={proxy + 7}\tprofileData={json.dumps(SETTINGS)}",
        "REGISTER\tlist=0\tmembersList=2",
        endpoint_line(11),
        endpoint_line(12),
        f"PEERS_KNOWN\trelay={proxy}\tkind=C\tlist=0\tgen=1",
    ]


def request_line(proxy: int, number: int, extra_fields: str = "") -> str:
    return f"REQ\trelay={proxy}\tmsgId=q{proxy}-{number}\tcategory=read\tgiveUpAtS=60.0{extra_fields}"


def run_batches(*batches: list[str]) -> tuple[int, list[str], str]:
    text = ""
    for number, lines in enumerate(batches):
        begin = f"BEGIN_BATCH\tsimTimeS={5 + number / 10}\tbatch={number}"
        text += "\n".join([begin, *lines, "EOF_BATCH", ""])
    return run_text(text)


def run_text(text: str) -> tuple[int, list[str], str]:
    streams = SimpleNamespace(stdin=io.StringIO(text), stdout=io.StringIO(), stderr=io.StringIO())
    exit_status = main(streams)
    return exit_status, streams.stdout.getvalue().splitlines(), streams.stderr.getvalue()


def test_empty_batch_is_answered() -> None:
    assert run_batches([]) == (0, ["NEXT\tbatch=0"], "")


def test_request_is_forwarded() -> None:
    code, out, err = run_batches(configure_lines(3), [request_line(3, 1)])
    assert (code, err) == (0, "")
    assert out[0] == "NEXT\tbatch=0"
    assert out[1].startswith("FORWARD\trelay=3\tmsgId=q3-1\tbackend=1")
    assert out[2:] == ["NEXT\tbatch=1"]


def test_registered_list_is_replaced_within_batch() -> None:
    lines = [
        *configure_lines(1),
        "REGISTER\tlist=0\tmembersList=1",
        endpoint_line(13),
        "PEERS_KNOWN\trelay=1\tkind=F\tlist=0\tgen=2",
        request_line(1, 1),
    ]
    assert "\tbackend=13\t" in run_batches(lines)[1][0]


def test_unknown_events_fields_outcomes_samples_and_stages_are_skipped() -> None:
    backend_field = run_batches(configure_lines(0), [request_line(0, 1)])[1][1].split("\t")[3]
    code, out, err = run_batches(
        [
            *configure_lines(0),
            "REGISTER\tlist=1\tmembersList=1",
            endpoint_line(14, "resting"),
            "PEERS_KNOWN\trelay=0\tkind=D\tlist=1\tgen=2",
            "PEERS_KNOWN\trelay=0\tkind=Q\tlist=9\tgen=2",
        ],
        [
            request_line(0, 1, "\tnewField=1"),
            "SOMETHING_NEW\trelay=0\tx=1",
            "WHISPER\trelay=0\twho=1\tpayload=-",
        ],
        [
            f"HINT_UPDATE\trelay=0\tmsgId=q0-1\tleg=0\t{backend_field}\tsort=9\tvalue=1",
            f"DONE\trelay=0\tmsgId=q0-1\tleg=0\t{backend_field}\toutcome=fell_asleep\tdelaySeenS=0.1",
        ],
    )
    assert (code, err) == (0, "")
    assert out[-1] == "NEXT\tbatch=2"


def test_proxy_may_stop_and_start_in_one_batch() -> None:
    start_lines = [*configure_lines(2), request_line(2, 1)]
    code, out, _ = run_batches(start_lines, ["DOWN\trelay=2", "TIMEOUT_FIRED\trelay=2\tname=x", *start_lines])
    assert code == 0
    assert out[0].split("\t")[:3] == out[2].split("\t")[:3]


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("REQ\trelay=0\tmsgId=a\tcategory=read", "giveUpAtS"),
        ("REQ\trelay=0\tmsgId=a\tcategory=read\tgiveUpAtS=soon", "giveUpAtS"),
        ("REQ\trelay=0\tmsgId=a\tcategory=read\tgiveUpAtS=nan", "giveUpAtS"),
        ("HEADERS\trelay=0\tmsgId=a\tleg=x\tbackend=1", "leg"),
        ("DONE\trelay=0\tmsgId=a\tleg=0\tbackend=1\toutcome=pass\ttelemetry=x0", "telemetry"),
        ("PEERS_KNOWN\trelay=0\tkind=F\tlist=5\tgen=1", "list 5"),
        ("REGISTER\tlist=0\tmembersList=2\n" + endpoint_line(1), "expected an entry"),
        ("TIMEOUT_FIRED\trelay=0\tname", "name=value"),
    ],
)
def test_malformed_line_exits_with_one_line_on_stderr(line: str, reason: str) -> None:
    code, out, err = run_batches(configure_lines(0), [line])
    assert code == 1
    assert out == ["NEXT\tbatch=0"]
    assert reason in err
    assert err.count("\n") == 1
    assert "Traceback" not in err


@pytest.mark.parametrize("text", ["HELLO\n", "BEGIN_BATCH\tsimTimeS=1\tbatch=0\n"])
def test_broken_framing_exits_with_one_line_on_stderr(text: str) -> None:
    code, out, err = run_text(text)
    assert (code, out) == (1, [])
    assert err.count("\n") == 1


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        (("balancers",), None, "balancers is missing"),
        (("rules", "coldFrom"), None, "rules.coldFrom is missing"),
        (("rules", "coldFrom"), "much", "rules.coldFrom is not a number"),
        (("ceilings",), 7, "ceilings is not an object"),
        (("categories",), {}, "categories is not a list"),
        (("categories", 0, "effect"), 7, "effect is not a string"),
        (("categories", 0, "group"), [], "group is not a string"),
        (("discovery",), True, "discovery is not a string"),
    ],
)
def test_invalid_settings_name_key(path: tuple[Any, ...], value: object, reason: str) -> None:
    invalid_settings = json.loads(json.dumps(SETTINGS))
    container = invalid_settings
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    with pytest.raises(MalformedError, match=reason.replace("[", r"\[")):
        parse_settings(json.dumps(invalid_settings))


@pytest.mark.parametrize(
    ("effect", "group", "expected_idempotency", "expected_warning"),
    [
        ("odd", "all", Idempotency.NONE, "effect 'odd'"),
        ("token", "odd", Idempotency.NONE, "group 'odd'"),
        ("pure", "odd", Idempotency.ALWAYS, ""),
        ("token", "zone", Idempotency.BY_KEY, ""),
    ],
)
def test_class_with_unknown_effect_is_never_retried(
    effect: str,
    group: str,
    expected_idempotency: Idempotency,
    expected_warning: str,
    caplog: pytest.LogCaptureFixture,
) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    settings["categories"][0] |= {"effect": effect, "group": group}
    (request_class,) = parse_settings(json.dumps(settings)).classes
    assert request_class.idempotency is expected_idempotency
    assert [expected_warning in record.getMessage() for record in caplog.records] == [True] * bool(
        expected_warning
    )


def test_settings_must_be_json() -> None:
    with pytest.raises(MalformedError, match="not JSON"):
        parse_settings("{")


def test_exception_of_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(*_: object) -> None:
        raise IndexError("out of\nrange")

    monkeypatch.setattr(Balancer, "handle", failing_handle)
    assert run_batches(configure_lines(0))[1][0] == "EXCEPTION\trelay=0\tline=IndexError: out of range"


def random_batches(proxy_count: int) -> list[list[str]]:
    """Returns batches of random events for several proxies, which are the same at each call."""
    rng = random.Random(4)
    batches = [[line for proxy in range(proxy_count) for line in configure_lines(proxy)]]
    for number in range(40):
        batch = []
        for proxy in range(proxy_count):
            if rng.random() < 0.7:
                batch.append(request_line(proxy, number))
            if number and rng.random() < 0.4:
                batch.append(
                    f"DONE\trelay={proxy}\tmsgId=q{proxy}-{rng.randrange(number)}\tleg=0\tbackend=11"
                    f"\toutcome={rng.choice(['pass', 'no_room', 'fault'])}\tdelaySeenS=0.1"
                )
        batches.append(batch)
    return batches


def answers_in_subprocess(proxies: set[int], hash_seed: int) -> dict[int, list[str]]:
    """Returns the answers of these proxies by proxy, as given by a separate adapter process."""
    text = ""
    for number, batch in enumerate(random_batches(6)):
        own_lines = [
            line
            for line in batch
            if "relay=" not in line or int(line.partition("relay=")[2].split("\t")[0]) in proxies
        ]
        begin = f"BEGIN_BATCH\tsimTimeS={5 + number / 10}\tbatch={number}"
        text += "\n".join([begin, *own_lines, "EOF_BATCH", ""])
    completed = subprocess.run(
        [sys.executable, "-m", "ironmill.simulator"],
        input=text,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
    )
    answers: dict[int, list[str]] = {}
    for line in completed.stdout.splitlines():
        if "relay=" in line:
            answers.setdefault(int(line.split("\t")[1].partition("=")[2]), []).append(line)
    return answers


def test_same_actions_in_one_process_and_in_three() -> None:
    single_process = answers_in_subprocess(set(range(6)), 1)
    three_processes: dict[int, list[str]] = {}
    for hash_seed, proxies in enumerate(({0, 3}, {1, 4}, {2, 5})):
        three_processes |= answers_in_subprocess(proxies, hash_seed + 2)
    assert sum(map(len, single_process.values())) > 100
    assert single_process == three_processes


def test_health_checks_on_simulator_wire() -> None:
    assert format_action("3", CheckHealth(5)) == "PROBE\trelay=3\tbackend=5"
    fields = {"backend": "5", "outcome": "pass", "delaySeenS": "0.01", "telemetry": "x0:0.5,queue:2"}
    assert EVENT_PARSERS["STATUS_BACK"](fields) == HealthChecked(5, Outcome.OK, (("x0", 0.5), ("queue", 2.0)))
