/// @file
/// Ejects upstreams that fail their requests and readmits them by probes.
#include "ejection.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "config.h"

namespace endivewood {
namespace {

/// What the outcome of a request says about the health of its upstream.
enum class Evidence : std::uint8_t { kNone, kSuccess, kFailure };

Evidence EvidenceOf(SlotOutcome outcome) {
  switch (outcome) {
    case SlotOutcome::kSucceeded:
      return Evidence::kSuccess;
    case SlotOutcome::kFailed:
    case SlotOutcome::kTimeout:
    case SlotOutcome::kNotReached:
      return Evidence::kFailure;
    case SlotOutcome::kRefusedBusy:
    case SlotOutcome::kRefusedDraining:
    case SlotOutcome::kCheckpointed:
    case SlotOutcome::kCancelled:
      return Evidence::kNone;
  }
  return Evidence::kNone;
}

}  // namespace

EjectionDetector::EjectionDetector(const EjectionOptions& options) : m_options(options) {}

void EjectionDetector::SetMembers(const std::vector<InstanceName>& members) {
  std::map<InstanceName, Member> kept;
  for (const InstanceName& name : members) kept[name] = m_members[name];
  m_members = std::move(kept);
  while (EjectedCount() > EjectedLimit()) ReadmitFirstEjected();
}

void EjectionDetector::ReadmitFirstEjected() {
  Member* first = nullptr;
  for (auto& [name, member] : m_members) {
    if (member.health == UpstreamHealth::kHealthy) continue;
    if (first == nullptr || member.ejected_at < first->ejected_at) first = &member;
  }
  if (first != nullptr) *first = Member{};
}

void EjectionDetector::OnOutcome(const InstanceName& instance, SlotOutcome outcome,
                                 const std::vector<InstanceName>& failed_before, Milliseconds now) {
  const auto found = m_members.find(instance);
  const Evidence evidence = EvidenceOf(outcome);
  if (found == m_members.end() || evidence == Evidence::kNone) return;
  Member& member = found->second;
  // An upstream that can't be reached didn't run the job, so the job can't be the cause.
  const bool job_at_fault = evidence == Evidence::kFailure && outcome != SlotOutcome::kNotReached &&
                            !failed_before.empty();
  if (member.health == UpstreamHealth::kTrial) {
    if (!job_at_fault) EndTrial(&member, evidence == Evidence::kSuccess, now);
    return;
  }
  if (member.health == UpstreamHealth::kEjected) return;
  if (job_at_fault) {
    // Only the job's first failure was counted, and is taken back at the second one.
    if (failed_before.size() == 1) Retract(failed_before);
    return;
  }
  Count(&member, evidence == Evidence::kFailure);
  if (IsOutlier(member)) Eject(&member, now);
}

void EjectionDetector::Count(Member* member, bool failed) {
  const double decay = 1.0 - 1.0 / m_options.window;
  member->failures = member->failures * decay + (failed ? 1.0 : 0.0);
  member->outcomes = member->outcomes * decay + 1.0;
}

void EjectionDetector::Retract(const std::vector<InstanceName>& failed_before) {
  for (const InstanceName& name : failed_before) {
    const auto found = m_members.find(name);
    if (found == m_members.end()) continue;
    Member& member = found->second;
    const double counted = std::min(1.0, member.failures);
    member.failures -= counted;
    member.outcomes -= counted;
  }
}

bool EjectionDetector::IsOutlier(const Member& member) const {
  if (member.failures < m_options.min_failures) return false;
  if (EjectedCount() >= EjectedLimit()) return false;
  double rest_failures = 0.0;
  double rest_outcomes = 0.0;
  for (const auto& [name, other] : m_members) {
    if (&other == &member || other.health != UpstreamHealth::kHealthy) continue;
    rest_failures += other.failures;
    rest_outcomes += other.outcomes;
  }
  const double rest_share = rest_outcomes > 0.0 ? rest_failures / rest_outcomes : 0.0;
  const double share = member.failures / member.outcomes;
  return share >= m_options.min_share && share >= m_options.outlier_factor * rest_share;
}

void EjectionDetector::Eject(Member* member, Milliseconds now) {
  member->health = UpstreamHealth::kEjected;
  member->ejected_at = now;
  member->probe_delay = m_options.probe_delay;
  member->next_probe = now + member->probe_delay;
}

void EjectionDetector::EndTrial(Member* member, bool succeeded, Milliseconds now) {
  if (succeeded) {
    *member = Member{};
    return;
  }
  member->health = UpstreamHealth::kEjected;
  member->probe_delay = std::min(member->probe_delay * 2, m_options.max_probe_delay);
  member->next_probe = now + member->probe_delay;
}

std::vector<InstanceName> EjectionDetector::DueProbes(Milliseconds now) {
  std::vector<InstanceName> due;
  for (auto& [name, member] : m_members) {
    if (member.health != UpstreamHealth::kEjected || now < member.next_probe) continue;
    member.next_probe = now + member.probe_delay;
    due.push_back(name);
  }
  return due;
}

void EjectionDetector::OnProbe(const InstanceName& instance, bool healthy, Milliseconds now) {
  const auto found = m_members.find(instance);
  if (found == m_members.end() || found->second.health != UpstreamHealth::kEjected) return;
  if (healthy) {
    found->second.health = UpstreamHealth::kTrial;
  } else {
    EndTrial(&found->second, false, now);
  }
}

UpstreamHealth EjectionDetector::Health(const InstanceName& instance) const {
  const auto found = m_members.find(instance);
  return found == m_members.end() ? UpstreamHealth::kHealthy : found->second.health;
}

std::size_t EjectionDetector::EjectedCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_members, [](const auto& item) { return item.second.health != UpstreamHealth::kHealthy; }));
}

std::size_t EjectionDetector::EjectedLimit() const {
  const double limit = m_options.max_ejected_share * static_cast<double>(m_members.size());
  return static_cast<std::size_t>(std::floor(limit));
}

bool IsNotRunnable(const std::vector<InstanceName>& failed_on, std::size_t candidates) {
  const std::set<InstanceName> distinct(failed_on.begin(), failed_on.end());
  if (distinct.size() >= config::kNotRunnableFailures) return true;
  return distinct.size() >= 2 && distinct.size() >= candidates;
}

}  // namespace endivewood
