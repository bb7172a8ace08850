/// @file
/// Learned durations of tasks.
#include "run_durations.h"

#include <algorithm>
#include <cmath>

#include "config_stragglers.h"

namespace endivewood {
namespace {

/// Rounds of the robust fit. Each shortens the residuals by the spread of the previous one.
constexpr int kFitRounds = 4;

/// Standard deviation of a normal distribution divided by its median absolute deviation.
constexpr double kSpreadPerMad = 1.4826;

double MedianOf(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// @returns the quantile of the logistic distribution that is closest to a standard normal one.
double NormalQuantile(double share) { return std::log(share / (1 - share)) / 1.702; }

double QuantileOf(const std::vector<double>& sorted, double share) {
  const double position = share * static_cast<double>(sorted.size() - 1);
  const auto below = static_cast<std::size_t>(position);
  const std::size_t above = std::min(below + 1, sorted.size() - 1);
  const double part = position - static_cast<double>(below);
  return sorted[below] + part * (sorted[above] - sorted[below]);
}

double LogOf(Milliseconds time) {
  return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

Milliseconds Scaled(Milliseconds estimate, double log_ratio) {
  const double ratio =
      std::exp(std::clamp(log_ratio, -config::kMaxDeviation, config::kMaxDeviation));
  return Milliseconds(std::llround(ratio * static_cast<double>(estimate.count())));
}

double LearnedShare(std::size_t runs) {
  const auto count = static_cast<double>(runs);
  return count / (count + config::kDurationPriorRuns);
}

}  // namespace

bool RunDurations::Learn(const QueueName& queue, Milliseconds estimate, Milliseconds duration) {
  if (estimate <= Milliseconds{0}) return false;
  const Milliseconds notice(config::kEndNoticeMs);
  if (duration > estimate) duration = std::max(estimate, duration - notice);
  Model& model = m_models[queue];
  model.runs.push_back(
      {.log_estimate = LogOf(estimate), .log_ratio = LogOf(duration) - LogOf(estimate)});
  if (model.runs.size() > config::kDurationWindowRuns) model.runs.pop_front();
  if (++model.since_update < config::kDurationUpdateRuns) return false;
  model.since_update = 0;
  Update(&model);
  return true;
}

void RunDurations::Update(Model* model) {
  const std::size_t count = model->runs.size();
  double sum = 0;
  std::vector<double> ratios;
  ratios.reserve(count);
  for (const Run& run : model->runs) {
    sum += run.log_estimate;
    ratios.push_back(run.log_ratio);
  }
  const double mean = sum / static_cast<double>(count);
  double level = MedianOf(ratios);
  double tilt = 0;
  double spread = config::kDurationPriorSpread;
  std::vector<double> residuals(count);
  const auto update_residuals = [&] {
    std::vector<double> deviations(count);
    for (std::size_t i = 0; i < count; ++i) {
      const Run& run = model->runs[i];
      residuals[i] = run.log_ratio - level - tilt * (run.log_estimate - mean);
      deviations[i] = std::abs(residuals[i]);
    }
    spread = std::max(config::kMinDurationSpread, kSpreadPerMad * MedianOf(deviations));
  };
  update_residuals();
  for (int round = 0; round < kFitRounds; ++round) {
    const double limit = config::kMaxResidualSpreads * spread;
    double sum_residual = 0;
    double sum_product = 0;
    double sum_square = 0;
    for (std::size_t i = 0; i < count; ++i) {
      const double residual = std::clamp(residuals[i], -limit, limit);
      const double offset = model->runs[i].log_estimate - mean;
      sum_residual += residual;
      sum_product += residual * offset;
      sum_square += offset * offset;
    }
    level += sum_residual / static_cast<double>(count);
    if (sum_square > 0) tilt += sum_product / sum_square;
    update_residuals();
  }
  const auto [least, most] = std::minmax_element(
      model->runs.begin(), model->runs.end(),
      [](const Run& a, const Run& b) { return a.log_estimate < b.log_estimate; });
  // Shrinks the slope by what the spread of the estimates tells about it, the level by the runs.
  double sum_square = 0;
  for (const Run& run : model->runs) {
    sum_square += (run.log_estimate - mean) * (run.log_estimate - mean);
  }
  const double prior =
      config::kDurationPriorRuns * config::kDurationPriorSpread * config::kDurationPriorSpread;
  model->min_log_estimate = least->log_estimate;
  model->max_log_estimate = most->log_estimate;
  model->mean_log_estimate = mean;
  model->level = level * LearnedShare(count);
  model->tilt = tilt * sum_square / (sum_square + prior);
  model->spread = spread;
  std::sort(residuals.begin(), residuals.end());
  model->residuals = std::move(residuals);
  model->fitted_runs = count;
}

double RunDurations::Model::LogRatioAt(double log_estimate) const {
  // Nothing is known about estimates beyond those that were seen.
  const double known = std::clamp(log_estimate, min_log_estimate, max_log_estimate);
  const double ratio = level + tilt * (known - mean_log_estimate);
  return std::abs(ratio) <= config::kIgnoredDeviation ? 0 : ratio;
}

const RunDurations::Model* RunDurations::Find(const QueueName& queue) const {
  const auto found = m_models.find(queue);
  if (found == m_models.end() || found->second.fitted_runs == 0) return nullptr;
  return &found->second;
}

Milliseconds RunDurations::Expected(const QueueName& queue, Milliseconds estimate) const {
  const Model* const model = Find(queue);
  if (model == nullptr || estimate <= Milliseconds{0}) return estimate;
  return Scaled(estimate, model->LogRatioAt(LogOf(estimate)));
}

Milliseconds RunDurations::Quantile(const QueueName& queue, Milliseconds estimate,
                                    double share) const {
  const double assumed = config::kDurationPriorSpread * NormalQuantile(share);
  const Model* const model = Find(queue);
  if (model == nullptr || estimate <= Milliseconds{0}) return Scaled(estimate, assumed);
  const double learned = LearnedShare(model->fitted_runs);
  const double residual = learned * QuantileOf(model->residuals, share) + (1 - learned) * assumed;
  return Scaled(estimate, model->LogRatioAt(LogOf(estimate)) + residual);
}

std::size_t RunDurations::RunsOf(const QueueName& queue) const {
  const Model* const model = Find(queue);
  return model == nullptr ? 0 : model->fitted_runs;
}

DurationSummary RunDurations::SummaryOf(const QueueName& queue) const {
  const Model* const model = Find(queue);
  if (model == nullptr) return {};
  return {.factor = std::exp(model->LogRatioAt(model->mean_log_estimate)),
          .slope = 1 + model->tilt,
          .spread = model->spread,
          .runs = model->fitted_runs};
}

std::map<QueueName, DurationSummary> RunDurations::Summaries() const {
  std::map<QueueName, DurationSummary> summaries;
  for (const auto& [queue, model] : m_models) {
    if (model.fitted_runs > 0) summaries[queue] = SummaryOf(queue);
  }
  return summaries;
}

}  // namespace endivewood
