/// @file
/// Least-squares line through measured points.
#pragma once

#include <vector>

namespace endivewood::capacity {

/// One measurement.
struct Point {
  double size = 0;
  double value = 0;

  bool operator==(const Point&) const = default;
};

/// value = slope × size + constant.
struct LinearFit {
  double slope = 0;
  double constant = 0;
  double worst_residual = 0;  ///< Largest distance of a point from the line, in the value's unit.

  double At(double size) const { return slope * size + constant; }
  bool operator==(const LinearFit&) const = default;
};

/// @param points at least two different sizes.
LinearFit FitLine(const std::vector<Point>& points);

}  // namespace endivewood::capacity
