"""Linear regression over measured points."""

import statistics
import typing


class LineFit(typing.NamedTuple):
    """``y = intercept + slope * x`` and its maximum absolute error."""

    slope: float
    intercept: float
    max_error: float

    @classmethod
    def from_points(
        cls, xs: typing.Sequence[float], ys: typing.Sequence[float]
    ):
        """Fit a line by least squares."""
        slope, intercept = statistics.linear_regression(xs, ys)
        max_error = max(
            abs(y - (intercept + slope * x))
            for x, y in zip(xs, ys, strict=True)
        )
        return cls(slope, intercept, max_error)

    def at(self, x: float) -> float:
        """Return the fitted value at ``x``."""
        return self.intercept + self.slope * x

    def format(self) -> str:
        """Return the formula and the maximum error as text."""
        return (
            f'{self.intercept:.4g} + {self.slope:.4g} x '
            f'(largest error {self.max_error:.2g})'
        )
