"""``ironmill caller explain``: shows which rules a credential matches, and why it is admitted or refused."""

from __future__ import annotations

from collections.abc import Iterator

from ironmill.configuration.operator_files import OperatorFiles
from ironmill.identity.authenticator import Admitted, Authenticator, Rejected
from ironmill.identity.errors import CredentialError
from ironmill.identity.rules import Rights
from ironmill.identity.rules import explain as evaluate_rules
from ironmill.identity.tokens import parse_token


def explain(files: OperatorFiles, token: bytes, now: float) -> Iterator[str]:
    """Yields lines of text; the last one says whether the token is accepted at this Unix time."""
    settings, ring = files.settings.identity, files.ring
    if settings is None or ring is None:
        yield "the settings have no identity element: every client is served, and AUTH lines are not accepted"
        return
    try:
        claims = parse_token(token).claims
    except CredentialError as error:
        yield f"refused: {error}"
        return
    for evaluation in evaluate_rules(settings, claims):
        rule = f"line {evaluation.rule.line}, caller {evaluation.rule.caller.name}"
        yield f"{rule}: {evaluation.mismatch or 'matches'}"
    match Authenticator(settings, ring, now).authenticate_token(token, "", now):
        case Admitted(caller, kid):
            yield (
                f"admitted by key {kid}: caller {caller.name} of tenant {caller.tenant}, "
                f"{_describe_rights(caller.rights)}"
            )
        case Rejected(_, detail):
            yield f"refused: {detail}"


def _describe_rights(rights: Rights) -> str:
    classes = "all classes" if rights.classes is None else f"classes {' '.join(sorted(rights.classes))}"
    connections = "any number of" if rights.max_connections is None else f"{rights.max_connections}"
    rate = rights.max_openings_per_s
    openings = "" if rate is None else f", {rate:g} new connections per second"
    return f"{classes}, {connections} connections{openings}"
