"""Figures with their errors and signs, and the format of figures on the page."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from ironmill_testbed.capacity.data import Sign

NOT_RUN = "not run"
UNKNOWN = "-"  # shown for a value that is not given or does not apply
_VALUE_DIGITS = 3  # significant digits of a value
_ERROR_DIGITS = 2  # significant digits of an error


class _Scale(Struct, frozen=True):
    """A unit that the page uses for values from ``start`` up to the next scale."""

    start: float
    divisor: float
    suffix: str


# Scales by the unit of the value, from the smallest to the largest.
_SCALES: dict[str, tuple[_Scale, ...]] = {
    "s": (
        _Scale(0.0, 1e-6, " µs"),
        _Scale(1e-3, 1e-3, " ms"),
        _Scale(1.0, 1.0, " s"),
        _Scale(300.0, 60.0, " min"),
        _Scale(2 * 3600.0, 3600.0, " h"),
        _Scale(48 * 3600.0, 86400.0, " days"),
    ),
    "B": (
        _Scale(0.0, 1.0, " B"),
        _Scale(1e3, 1e3, " KB"),
        _Scale(1e6, 1e6, " MB"),
        _Scale(1e9, 1e9, " GB"),
        _Scale(1e12, 1e12, " TB"),
    ),
    "B/s": (
        _Scale(0.0, 1.0, " B/s"),
        _Scale(1e3, 1e3, " KB/s"),
        _Scale(1e6, 1e6, " MB/s"),
        _Scale(1e9, 1e9, " GB/s"),
    ),
    "cores": (_Scale(0.0, 0.01, " % of a core"), _Scale(1.0, 1.0, " cores")),
    "/s": (_Scale(0.0, 1.0, "/s"), _Scale(1e6, 1e6, " million/s")),
    "": (_Scale(0.0, 1.0, ""), _Scale(1e7, 1e6, " million")),
}
_SCALES["s/s"] = _SCALES["cores"]


class Figure(Struct, frozen=True):
    """A value with its standard error and sign; the value is None if a measurement is missing.

    A sum or difference adds the errors of its operands, a product or quotient adds their relative errors.
    Errors may be correlated, so the sum is an upper bound of the error.
    """

    value: float | None
    error: float = 0.0
    sign: Sign = Sign.DERIVED

    def __add__(self, other: Figure | float) -> Figure:
        """Adds values and errors."""
        return self._sum(other, lambda a, b: a + b)

    __radd__ = __add__

    def __sub__(self, other: Figure | float) -> Figure:
        """Subtracts values and adds errors."""
        return self._sum(other, lambda a, b: a - b)

    def __mul__(self, other: Figure | float) -> Figure:
        """Multiplies values and adds relative errors."""
        return self._product(other, lambda a, b: a * b)

    __rmul__ = __mul__

    def __truediv__(self, other: Figure | float) -> Figure:
        """Divides values and adds relative errors; the result is infinite if the divisor is zero."""
        return self._product(other, lambda a, b: a / b if b else math.inf)

    def __rtruediv__(self, other: float) -> Figure:
        """Divides a number by this figure."""
        return Figure(float(other)) / self

    def ceil(self) -> Figure:
        """Rounds the value up to a whole number; the result has no error."""
        return Figure(None if self.value is None else float(math.ceil(self.value - 1e-9)), 0.0, self.sign)

    def _sum(self, other: Figure | float, combine: Callable[[float, float], float]) -> Figure:
        right = _to_figure(other)
        sign = _combined_sign(self, right)
        if self.value is None or right.value is None:
            return Figure(None, sign=sign)
        return Figure(combine(self.value, right.value), self.error + right.error, sign)

    def _product(self, other: Figure | float, combine: Callable[[float, float], float]) -> Figure:
        right = _to_figure(other)
        sign = _combined_sign(self, right)
        if self.value is None or right.value is None:
            return Figure(None, sign=sign)
        value = combine(self.value, right.value)
        relative_errors = [
            abs(operand.error / operand.value) if operand.value else 0.0 for operand in (self, right)
        ]
        return Figure(value, abs(value) * sum(relative_errors), sign)


def _to_figure(value: Figure | float) -> Figure:
    return value if isinstance(value, Figure) else Figure(float(value))


def _combined_sign(left: Figure, right: Figure) -> Sign:
    return Sign.ASSUMED if Sign.ASSUMED in (left.sign, right.sign) else Sign.DERIVED


def number(value: float, digits: int = _VALUE_DIGITS) -> str:
    """Formats a number rounded to significant digits, with thousands separators."""
    if value == 0.0:
        return "0"
    if math.isinf(value):
        return "unlimited" if value > 0 else "-unlimited"
    places = _decimal_places(value, digits)
    is_whole = abs(value - round(value)) < 1e-9 * abs(value)
    return _fixed(value, min(places, 0) if is_whole else places)


def plain_number(value: float) -> str:
    """Formats a whole number with thousands separators, or another with up to six significant digits."""
    return f"{int(value):,}" if value == int(value) else f"{value:g}"


def quantity(figure: Figure, unit: str = "", *, signed: bool = True) -> str:
    """Formats a figure with its error, its sign, and a unit that is scaled to the value."""
    if figure.value is None or math.isnan(figure.value):
        return NOT_RUN
    divisor, suffix = _scale(figure.value, unit)
    sign = f" {figure.sign.mark}" if signed else ""
    return f"{_with_error(figure.value / divisor, figure.error / divisor)}{suffix}{sign}"


def _scale(value: float, unit: str) -> tuple[float, str]:
    """Returns the divisor of a value's scale and the suffix that names its unit."""
    divisor, suffix = 1.0, f" {unit}" if unit else ""
    for scale in _SCALES.get(unit, ()):
        if math.isfinite(value) and abs(value) >= scale.start:
            divisor, suffix = scale.divisor, scale.suffix
    if value == 0.0 and unit:
        suffix = {"s/s": " cores", "/s": "/s"}.get(unit, f" {unit}")
    return divisor, suffix


def _with_error(value: float, error: float) -> str:
    if error <= 0.0 or not math.isfinite(error) or math.isinf(value):
        return number(value)
    places = _decimal_places(error, _ERROR_DIGITS)
    if value:
        places = min(places, _decimal_places(value, _VALUE_DIGITS))
    if value == round(value) and error == round(error):
        return f"{_fixed(value, min(places, 0))} ± {_fixed(error, 0)}"
    return f"{_fixed(value, places)} ± {_fixed(error, _decimal_places(error, _ERROR_DIGITS))}"


def _decimal_places(value: float, digits: int) -> int:
    """Returns the decimal places for that many significant digits; negative if integer digits are rounded."""
    places = digits - 1 - math.floor(math.log10(abs(value)))
    if abs(round(value, places)) >= 10.0 ** (digits - places):  # as 9.996, rounded to 10.0
        places -= 1
    return places


def _fixed(value: float, places: int) -> str:
    text = f"{round(value, places):,.{max(places, 0)}f}"
    return text.removeprefix("-") if not text.strip("-0.,") else text


def table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Formats a Markdown table and escapes ``|`` in its cells."""
    all_rows = [headings, ["---"] * len(headings), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in all_rows)
