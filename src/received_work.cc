/// @file
/// Work that client accounts have received lately.
#include "received_work.h"

#include <algorithm>
#include <cmath>

#include "config_overload.h"

namespace endivewood {
namespace {

double Decayed(double value, Milliseconds age) {
  const auto elapsed = static_cast<double>(std::max(age, Milliseconds{0}).count());
  return value * std::exp(-elapsed / static_cast<double>(config::kUsageDecayMs));
}

}  // namespace

void ReceivedWork::Add(const AccountName& account, double work, Milliseconds now) {
  Received& received = m_received[account];
  received = {.work = Decayed(received.work, now - received.at) + work, .at = now};
}

double ReceivedWork::ReceivedBy(const AccountName& account, Milliseconds now) const {
  const auto found = m_received.find(account);
  return found == m_received.end() ? 0 : Decayed(found->second.work, now - found->second.at);
}

std::set<AccountName> ReceivedWork::AboveFairShare(const std::map<AccountName, int>& weights,
                                                   double mean_work, Milliseconds now) const {
  double work = 0;
  double weight_sum = 0;
  for (const auto& [account, weight] : weights) {
    work += ReceivedBy(account, now);
    weight_sum += std::max(1, weight);
  }
  std::set<AccountName> above;
  for (const auto& [account, weight] : weights) {
    const double fair = work * std::max(1, weight) / weight_sum;
    const double limit = (1 + config::kShareMargin) * fair + config::kShareMarginJobs * mean_work;
    if (ReceivedBy(account, now) > limit) above.insert(account);
  }
  return above;
}

}  // namespace endivewood
