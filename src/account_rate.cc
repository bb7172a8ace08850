/// @file
/// Rates of client accounts.
#include "account_rate.h"

#include <algorithm>
#include <utility>

#include "config_overload.h"

namespace endivewood {

bool AccountRates::IsSurplus(const AccountName& account, int weight, const JobId& job,
                             Milliseconds now) {
  Forget(now);
  const auto known = m_submitted.find(job);
  if (known != m_submitted.end()) return known->second.surplus;
  const double per_ms = std::max(0, weight) / 1000.0;
  const double burst = std::max(1.0, per_ms * static_cast<double>(config::kRateBurstMs));
  const auto [position, added] = m_buckets.try_emplace(account);
  Bucket& bucket = position->second;
  if (added) bucket = {.tokens = burst, .refilled_at = now};
  const auto elapsed =
      static_cast<double>(std::max(now - bucket.refilled_at, Milliseconds{0}).count());
  bucket.tokens = std::min(burst, bucket.tokens + per_ms * elapsed);
  bucket.refilled_at = std::max(bucket.refilled_at, now);
  const bool surplus = bucket.tokens < 1.0;
  if (!surplus) bucket.tokens -= 1.0;
  if (surplus) ++bucket.surplus_jobs;
  bucket.above = surplus;
  m_submitted[job] = {.surplus = surplus, .at = now};
  return surplus;
}

std::optional<AccountRates::Change> AccountRates::TakeChange(const AccountName& account,
                                                             Milliseconds now) {
  const auto found = m_buckets.find(account);
  if (found == m_buckets.end()) return std::nullopt;
  Bucket& bucket = found->second;
  if (bucket.above == bucket.reported_above) return std::nullopt;
  const Milliseconds interval(config::kSurplusReportMs);
  if (bucket.reported_at && now < *bucket.reported_at + interval) return std::nullopt;
  bucket.reported_above = bucket.above;
  bucket.reported_at = now;
  return Change{.account = account,
                .above = bucket.above,
                .surplus_jobs = std::exchange(bucket.surplus_jobs, 0)};
}

void AccountRates::Forget(Milliseconds now) {
  if (now < m_forget_at) return;
  const Milliseconds memory(config::kSubmittedMemoryMs);
  m_forget_at = now + memory / 2;
  std::erase_if(m_submitted, [&](const auto& entry) { return entry.second.at + memory <= now; });
}

}  // namespace endivewood
