"""Tests of the linear regression."""

import random

from lab import fits
from tests import base


class FitTest(base.TestCase):
    """Tests fit_line."""

    def test_exact_line(self):
        points = [fits.Point(x, 3.0 + 2.0 * x) for x in (0, 1, 2, 5)]
        fit = fits.fit_line(points)
        self.assertAlmostEqual(2.0, fit.slope)
        self.assertAlmostEqual(3.0, fit.intercept)
        self.assertAlmostEqual(0.0, fit.slope_error)
        self.assertEqual(4, fit.points)

    def test_known_errors(self):
        # Computed by hand: residuals 1/6, -1/3, 1/6 around 1/3 + x / 2.
        points = [fits.Point(0, 0.5), fits.Point(1, 0.5), fits.Point(2, 1.5)]
        fit = fits.fit_line(points)
        self.assertAlmostEqual(0.5, fit.slope)
        self.assertAlmostEqual(1 / 3, fit.intercept)
        self.assertAlmostEqual((1 / 12) ** 0.5, fit.slope_error)
        self.assertAlmostEqual((5 / 36) ** 0.5, fit.intercept_error)

    def test_error_covers_slope_of_noisy_points(self):
        rng = random.Random(7)
        points = [
            fits.Point(x, 10.0 + 0.5 * x + rng.gauss(0.0, 1.0))
            for x in range(200)
        ]
        fit = fits.fit_line(points)
        self.assertLess(abs(fit.slope - 0.5), 4 * fit.slope_error)
        self.assertLess(fit.slope_error, 0.005)

    def test_too_few_points(self):
        with self.assertRaises(ValueError):
            fits.fit_line([fits.Point(0, 0), fits.Point(1, 1)])

    def test_points_with_the_same_x(self):
        with self.assertRaises(ValueError):
            fits.fit_line(
                [fits.Point(1, 0), fits.Point(1, 1), fits.Point(1, 2)]
            )
