"""A figure with its error and its sign, and how figures are written."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from ironmill_testbed.capacity.data import Sign

NOT_RUN = "not run"
UNKNOWN = "-"  # has no place here
DIGITS = 3  # significant, of a value
ERROR_DIGITS = 2  # of its error

# By unit: steps from the smallest to the largest, each (from which value on, divided by, written after it).
STEPS: dict[str, tuple[tuple[float, float, str], ...]] = {
    "s": (
        (0.0, 1e-6, " µs"),
        (1e-3, 1e-3, " ms"),
        (1.0, 1.0, " s"),
        (300.0, 60.0, " min"),
        (2 * 3600.0, 3600.0, " h"),
        (48 * 3600.0, 86400.0, " days"),
    ),
    "B": ((0.0, 1.0, " B"), (1e3, 1e3, " KB"), (1e6, 1e6, " MB"), (1e9, 1e9, " GB"), (1e12, 1e12, " TB")),
    "B/s": ((0.0, 1.0, " B/s"), (1e3, 1e3, " KB/s"), (1e6, 1e6, " MB/s"), (1e9, 1e9, " GB/s")),
    "cores": ((0.0, 0.01, " % of a core"), (1.0, 1.0, " cores")),
    "/s": ((0.0, 1.0, "/s"), (1e6, 1e6, " million/s")),
    "": ((0.0, 1.0, ""), (1e7, 1e6, " million")),
}
STEPS["s/s"] = STEPS["cores"]


class Figure(Struct, frozen=True):
    """A value, one standard error of it, and how it came about; ``None`` where what it needs was not run.

    Errors of what is added, or multiplied, are added: they may hang together, so this never says too little.
    """

    value: float | None
    error: float = 0.0
    sign: Sign = Sign.DERIVED

    def _with(self, other: Figure | float, how: Callable[[float, float], float], relative: bool) -> Figure:
        right = other if isinstance(other, Figure) else Figure(float(other))
        sign = Sign.ASSUMED if Sign.ASSUMED in (self.sign, right.sign) else Sign.DERIVED
        if self.value is None or right.value is None:
            return Figure(None, sign=sign)
        value = how(self.value, right.value)
        if not relative:
            return Figure(value, self.error + right.error, sign)
        parts = [abs(one.error / one.value) if one.value else 0.0 for one in (self, right)]
        return Figure(value, abs(value) * sum(parts), sign)

    def __add__(self, other: Figure | float) -> Figure:
        return self._with(other, lambda a, b: a + b, False)

    __radd__ = __add__

    def __sub__(self, other: Figure | float) -> Figure:
        return self._with(other, lambda a, b: a - b, False)

    def __mul__(self, other: Figure | float) -> Figure:
        return self._with(other, lambda a, b: a * b, True)

    __rmul__ = __mul__

    def __truediv__(self, other: Figure | float) -> Figure:
        return self._with(other, lambda a, b: a / b if b else math.inf, True)

    def __rtruediv__(self, other: float) -> Figure:
        return Figure(float(other)) / self

    def ceil(self) -> Figure:
        """The next whole number; its error is not carried on."""
        return Figure(None if self.value is None else float(math.ceil(self.value - 1e-9)), 0.0, self.sign)


def number(value: float, digits: int = DIGITS) -> str:
    """To so many significant digits, thousands apart."""
    if value == 0.0:
        return "0"
    if math.isinf(value):
        return "without end" if value > 0 else "-without end"
    places = _places(value, digits)
    whole = abs(value - round(value)) < 1e-9 * abs(value)
    return _placed(value, min(places, 0) if whole else places)


def plain(value: float) -> str:
    """As it was given, thousands apart."""
    return f"{int(value):,}" if value == int(value) else f"{value:g}"


def quantity(figure: Figure, unit: str = "", signed: bool = True) -> str:
    """With unit, error and sign, as it stands on the page."""
    if figure.value is None or math.isnan(figure.value):
        return NOT_RUN
    divided, after = 1.0, f" {unit}" if unit else ""
    for least, by, written in STEPS.get(unit, ()):
        if math.isfinite(figure.value) and abs(figure.value) >= least:
            divided, after = by, written
    value, error = figure.value / divided, figure.error / divided
    if value == 0.0 and unit:
        after = {"s/s": " cores", "/s": "/s"}.get(unit, f" {unit}")
    sign = f" {figure.sign.mark}" if signed else ""
    if error <= 0.0 or not math.isfinite(error) or math.isinf(value):
        return f"{number(value)}{after}{sign}"
    places = _places(error, ERROR_DIGITS)
    if value:
        places = min(places, _places(value, DIGITS))
    if value == round(value) and error == round(error):
        return f"{_placed(value, min(places, 0))} ± {_placed(error, 0)}{after}{sign}"
    return f"{_placed(value, places)} ± {_placed(error, _places(error, ERROR_DIGITS))}{after}{sign}"


def _places(value: float, digits: int) -> int:
    """After the point; negative: so many before it are zeros."""
    places = digits - 1 - math.floor(math.log10(abs(value)))
    if abs(round(value, places)) >= 10.0 ** (digits - places):  # 9.996 is 10.0
        places -= 1
    return places


def _placed(value: float, places: int) -> str:
    text = f"{round(value, places):,.{max(places, 0)}f}"
    return text.removeprefix("-") if not text.strip("-0.,") else text


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """In Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |" for line in lines)
