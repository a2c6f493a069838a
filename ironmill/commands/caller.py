"""``ironmill caller explain``: which rule a credential meets, step by step, and why."""

from __future__ import annotations

from collections.abc import Iterator

from ironmill.configuration.operator_files import OperatorFiles
from ironmill.identity.authenticator import Admitted, Authenticator, Rejected
from ironmill.identity.errors import CredentialError
from ironmill.identity.rules import explain as steps_of
from ironmill.identity.tokens import parse_token


def explain(operator: OperatorFiles, token: bytes, now: float) -> Iterator[str]:
    """Lines of text; the last says what would become of the credential at this Unix time."""
    identity, ring = operator.settings.identity, operator.ring
    if identity is None or ring is None:
        yield "the settings hold no identity: everybody is served, and AUTH is no line of the protocol"
        return
    try:
        claims = parse_token(token).claims
    except CredentialError as error:
        yield f"refused: {error}"
        return
    for step in steps_of(identity, claims):
        rule = f"line {step.rule.line}, caller {step.rule.caller.name}"
        yield f"{rule}: {'matches' if not step.mismatch else step.mismatch}"
    match Authenticator(identity, ring, now).authenticate_token(token, "", now):
        case Admitted(caller, kid):
            rights = caller.rights
            names = None if rights.classes is None else " ".join(sorted(rights.classes))
            classes = "all classes" if names is None else f"classes {names}"
            most = "any number of" if rights.max_connections is None else f"{rights.max_connections}"
            openings = (
                ""
                if rights.max_openings_per_s is None
                else f", {rights.max_openings_per_s:g} openings a second"
            )
            yield (
                f"admitted by key {kid}: caller {caller.name} of tenant {caller.tenant}, {classes}, "
                f"{most} connections{openings}"
            )
        case Rejected(_, detail):
            yield f"refused: {detail}"
