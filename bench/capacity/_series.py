"""Measured points, the line through them, and its value at the size to design for."""

from msgspec import Struct

HOSTS, ENGINES, CUSTOMERS, PLACES = 420, 600, 380, 11
"""The size to design for."""


class Point(Struct, frozen=True, kw_only=True):
    """One measurement."""

    x: float
    y: float


class Series(Struct, frozen=True, kw_only=True):
    """One figure at several sizes.

    Attributes:
        name: Its stable name.
        unit: Of the figure.
        by: What the size counts.
        size: The size to design for, in the same count.
        points: The measurements, by growing size.
    """

    name: str
    unit: str
    by: str
    size: float
    points: tuple[Point, ...]

    @property
    def slope(self) -> float:
        """What one more of the size adds, by least squares."""
        count = len(self.points)
        mean_x = sum(point.x for point in self.points) / count
        mean_y = sum(point.y for point in self.points) / count
        spread = sum((point.x - mean_x) ** 2 for point in self.points)
        if not spread:
            return 0.0
        return sum((point.x - mean_x) * (point.y - mean_y) for point in self.points) / spread

    @property
    def start(self) -> float:
        """The line's value at size zero."""
        count = len(self.points)
        mean_x = sum(point.x for point in self.points) / count
        return sum(point.y for point in self.points) / count - self.slope * mean_x

    @property
    def measured(self) -> bool:
        """Whether the size to design for is one of those measured."""
        return any(point.x == self.size for point in self.points)

    @property
    def there(self) -> float:
        """The value at the size to design for: as measured, or else on the line."""
        for point in self.points:
            if point.x == self.size:
                return point.y
        return self.start + self.slope * self.size


def series(
    name: str, *, unit: str, by: str, size: float, points: dict[int, float] | dict[float, float]
) -> Series:
    """Return a series of measurements by size."""
    found = tuple(Point(x=float(x), y=float(y)) for x, y in sorted(points.items()))
    return Series(name=name, unit=unit, by=by, size=size, points=found)
