/// @file
/// Ejects upstreams that fail their requests and readmits them by probes.
#pragma once

#include "slot_allocator.h"

namespace endivewood {

struct EjectionOptions {
  /// Length of the exponential window over which failures are counted, in outcomes.
  double window = 20.0;
  /// Failures within the window from which an upstream is ejected. Five in a row reach 4.5.
  double min_failures = 4.0;
  /// Share of failed outcomes from which an upstream is ejected.
  double min_share = 0.5;
  /// An upstream is ejected only when its failure share is at least this many times that of the
  /// rest of its pool: a faulty job fails on every upstream, a faulty upstream fails more than the
  /// others.
  double outlier_factor = 2.0;
  /// Largest share of a pool that may be ejected, rounded down. A half allows one of the 2 or 3
  /// instances that a service has in a data centre.
  double max_ejected_share = 0.5;
  /// Time until the first probe; it doubles with each failed readmission.
  Milliseconds probe_delay{1000};
  Milliseconds max_probe_delay{30000};
};

/// State of an upstream, which decides how much work it receives.
enum class UpstreamHealth : std::uint8_t {
  kHealthy,
  kTrial,    ///< Its probe succeeded; it receives one request at a time until one succeeds.
  kEjected,  ///< It receives nothing until a probe succeeds.
};

/// Finds and ejects the failing upstreams of one pool. Not thread-safe.
class EjectionDetector {
 public:
  explicit EjectionDetector(const EjectionOptions& options = {});

  /// Replaces the members of the pool. When the smaller pool has too many ejected members, those
  /// that were ejected first are readmitted.
  void SetMembers(const std::vector<InstanceName>& members);

  /// Counts how a request ended.
  /// @param failed_before upstreams on which the same job failed before. A job that fails on a
  /// second upstream is considered faulty itself: neither of its failures counts.
  void OnOutcome(const InstanceName& instance, SlotOutcome outcome,
                 const std::vector<InstanceName>& failed_before, Milliseconds now);

  /// @returns ejected upstreams whose probe is due; each is returned once per probe delay.
  std::vector<InstanceName> DueProbes(Milliseconds now);

  /// Puts a healthy upstream on trial, or schedules the next probe.
  void OnProbe(const InstanceName& instance, bool healthy, Milliseconds now);

  /// @returns kHealthy for an unknown upstream.
  UpstreamHealth Health(const InstanceName& instance) const;

  /// @returns the number of members that are ejected or on trial.
  std::size_t EjectedCount() const;

  /// @returns the largest number of members that may be ejected.
  std::size_t EjectedLimit() const;

 private:
  struct Member {
    double failures = 0.0;
    double outcomes = 0.0;
    UpstreamHealth health = UpstreamHealth::kHealthy;
    Milliseconds ejected_at{0};
    Milliseconds next_probe{0};
    Milliseconds probe_delay{0};
  };

  void Count(Member* member, bool failed);
  void Retract(const std::vector<InstanceName>& failed_before);
  bool IsOutlier(const Member& member) const;
  void Eject(Member* member, Milliseconds now);
  void EndTrial(Member* member, bool succeeded, Milliseconds now);
  void ReadmitFirstEjected();

  EjectionOptions m_options;
  std::map<InstanceName, Member> m_members;
};

/// @returns whether a job that failed on these upstreams must not run again.
/// @param candidates number of upstreams that could run it.
bool IsNotRunnable(const std::vector<InstanceName>& failed_on, std::size_t candidates);

}  // namespace endivewood
