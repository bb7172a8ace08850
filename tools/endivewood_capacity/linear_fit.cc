/// @file
/// Least-squares line through measured points.
#include "linear_fit.h"

#include <algorithm>
#include <cmath>

namespace endivewood::capacity {

LinearFit FitLine(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const Point& point : points) {
    mean_size += point.size / count;
    mean_value += point.value / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& point : points) {
    covariance += (point.size - mean_size) * (point.value - mean_value);
    variance += (point.size - mean_size) * (point.size - mean_size);
  }
  LinearFit fit;
  fit.slope = covariance / variance;
  fit.constant = mean_value - fit.slope * mean_size;
  for (const Point& point : points) {
    const double distance = std::abs(point.value - fit.At(point.size));
    fit.worst_residual = std::max(fit.worst_residual, distance);
  }
  return fit;
}

}  // namespace endivewood::capacity
