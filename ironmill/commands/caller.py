"""``ironmill caller explain``: which rule a credential meets, step by step, and why."""

from __future__ import annotations

from collections.abc import Iterator

from ironmill.configuration.operator_files import OperatorFiles
from ironmill.identity.gate import Admitted, Gate, Refused
from ironmill.identity.rules import explain as steps_of
from ironmill.identity.tokens import TokenError, read


def explain(operator: OperatorFiles, token: bytes, now: float) -> Iterator[str]:
    """Lines of text; the last says what would become of the credential at this Unix time."""
    identity, ring = operator.settings.identity, operator.ring
    if identity is None or ring is None:
        yield "the settings hold no identity: everybody is served, and AUTH is no line of the protocol"
        return
    try:
        claims = read(token).claims
    except TokenError as error:
        yield f"refused: {error}"
        return
    for step in steps_of(identity, claims):
        rule = f"line {step.rule.line}, caller {step.rule.caller.name}"
        yield f"{rule}: {'matches' if not step.why_not else step.why_not}"
    match Gate(identity, ring, now).present(token, "", now):
        case Admitted(caller, kid):
            rights = caller.rights
            names = None if rights.classes is None else " ".join(sorted(rights.classes))
            classes = "all classes" if names is None else f"classes {names}"
            most = "any number of" if rights.connections is None else f"{rights.connections}"
            openings = "" if rights.openings is None else f", {rights.openings:g} openings a second"
            yield (
                f"admitted by key {kid}: caller {caller.name} of tenant {caller.tenant}, {classes}, "
                f"{most} connections{openings}"
            )
        case Refused(_, detail):
            yield f"refused: {detail}"
