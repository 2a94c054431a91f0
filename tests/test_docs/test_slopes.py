import pytest

from bench.slopes.fit import Point, fit_line


def test_line_through_exact_points_has_no_error():
    line = fit_line([Point(size, 3 + 2 * size) for size in (3, 9, 60)])
    assert line.slope == pytest.approx(2)
    assert line.predict(100) == pytest.approx(203)
    assert line.slope_error == pytest.approx(0, abs=1e-9)


def test_error_is_the_standard_error_of_the_slope():
    points = [Point(0, 0), Point(1, 2), Point(2, 1), Point(3, 3)]
    line = fit_line(points)
    assert line.slope == pytest.approx(0.8)
    assert line.slope_error == pytest.approx((1.8 / 2 / 5) ** 0.5)
