/// @file
/// Membership in the log service's group that assigns the partitions of the job store.
#pragma once

#include <map>
#include <optional>

#include "store_calls.h"

namespace endivewood {

struct GroupMembershipOptions {
  std::string group;
  std::string member;  ///< Unique per process start.
  std::string topic;
  Milliseconds ttl{1500};
  Milliseconds join_interval{400};
};

/// @returns the group generation in which the term with this epoch began.
std::uint64_t GenerationOfEpoch(std::uint64_t epoch);

/// Does no I/O: replies and the time are passed in, calls to make are returned.
class GroupMembership {
 public:
  explicit GroupMembership(GroupMembershipOptions options) : m_options(std::move(options)) {}

  /// @returns the call that is due, or no value.
  std::optional<JoinGroup> TakeCall(Milliseconds now);
  void OnReply(const StoreReply& reply, Milliseconds now);

  /// @returns the partitions held, each with the epoch for its term. Epochs increase from term to
  /// term: with the generation in which the partition was assigned, and within one generation with
  /// each term that this member begins.
  const std::map<int, std::uint64_t>& held() const { return m_held; }
  std::uint64_t generation() const { return m_generation; }

  /// @returns when the last successful join was sent.
  std::optional<Milliseconds> confirmed_at() const { return m_confirmed_at; }

  /// @returns whether the membership is certain not to have expired.
  bool IsConfirmed(Milliseconds now) const;

  /// Gives the next term for the partition an epoch above `highest_token`, which the ended one has
  /// used as a fencing token.
  void OnTermEnded(int partition, std::uint64_t highest_token);

  Milliseconds NextDue() const { return m_in_flight ? Milliseconds::max() : m_next_join; }
  const GroupMembershipOptions& options() const { return m_options; }

 private:
  GroupMembershipOptions m_options;
  /// @returns an epoch above all that this member has used for the partition, or no value when the
  /// generation's epochs are used up.
  std::optional<std::uint64_t> NextEpoch(int partition) const;

  std::map<int, std::uint64_t> m_held;
  /// Highest epoch or fencing token used, by partition.
  std::map<int, std::uint64_t> m_last_epochs;
  std::uint64_t m_generation = 0;
  bool m_in_flight = false;
  Milliseconds m_next_join{0};
  Milliseconds m_sent_at{0};
  std::optional<Milliseconds> m_confirmed_at;
};

}  // namespace endivewood
