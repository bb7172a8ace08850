/// @file
/// Folds the stream `claims` into the state of each idempotency key: which request owns it and with
/// what result.
///
/// A request runs at most once: the first claim of a key in log order owns the key, and only the
/// author of that claim forwards the request. A fence doesn't free a key that was claimed before
/// it. An author that is paused between reading its claim and sending the work, and is fenced
/// meanwhile, therefore still runs the request at most once; other callers get "unknown effect".
///
/// A request that was answered as not run never runs: only the owner of the key records a refusal,
/// and then doesn't forward the request. Only its author withdraws an abandoned claim.
#pragma once

#include <endivewood/endivewood.h>

#include <set>

namespace endivewood {

/// "<epoch seconds>-<32 hexadecimal digits>", chosen by the caller.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/// 32 hexadecimal digits that identify a claim.
using ClaimId = Name<struct ClaimIdTag>;
/// Digest of a caller token or body, to compare them without storing them.
using Digest = Name<struct DigestTag>;

Digest DigestOf(const std::string& bytes);

/// @returns the Unix time that a key carries, or no value when the key is malformed.
std::optional<Milliseconds> KeyTime(const IdempotencyKey& key);

/// @returns whether a key may be claimed at a time: not expired and not far in the future.
bool IsWithinRetention(const IdempotencyKey& key, Milliseconds now);

// Records.

/// Claims a key for a request.
struct ClaimMade {
  ClaimId id;
  IdempotencyKey key;
  Digest caller;
  Digest body;

  bool operator==(const ClaimMade&) const = default;
};

/// The result of the owner's request. A not-run code is a tombstone: the key never runs.
struct ResultRecorded {
  ClaimId id;
  IdempotencyKey key;
  ResultCode code = ResultCode::kOk;
  std::string body;

  bool operator==(const ResultRecorded&) const = default;
};

/// The author did not and will not forward the request of this claim: the key is free again.
struct ClaimWithdrawn {
  ClaimId id;
  IdempotencyKey key;

  bool operator==(const ClaimWithdrawn&) const = default;
};

/// Voids later claims of the incarnation and makes the effect of its pending claims unknown.
struct IncarnationFenced {
  Incarnation incarnation;

  bool operator==(const IncarnationFenced&) const = default;
};

using ClaimEvent = std::variant<ClaimMade, ResultRecorded, ClaimWithdrawn, IncarnationFenced>;

/// One record of the stream. Every batch, also one without events, is a heartbeat of its author.
struct ClaimBatch {
  Incarnation author;
  std::vector<ClaimEvent> events;

  bool operator==(const ClaimBatch&) const = default;
};

/// @returns the batch as the payload of a log record (msgpack).
std::string EncodeClaimBatch(const ClaimBatch& batch);

/// @returns the batch, or no value when the payload is not one.
std::optional<ClaimBatch> DecodeClaimBatch(const std::string& payload);

/// The decision on a claim.
enum class ClaimVerdict : std::uint8_t {
  kOwned,           ///< The first claim of the key: its author forwards the request.
  kAlreadyClaimed,  ///< Another claim owns the key or its result is recorded.
  kMismatch,        ///< The key belongs to another caller or body.
  kVoidFenced,      ///< The author was fenced before this claim.
  kVoidExpired,     ///< The key was outside the retention window when the claim was recorded.
};

struct ClaimDecision {
  ClaimId id;
  IdempotencyKey key;
  ClaimVerdict verdict = ClaimVerdict::kOwned;

  bool operator==(const ClaimDecision&) const = default;
};

enum class KeyState : std::uint8_t {
  kFree,     ///< The last claim was withdrawn.
  kClaimed,  ///< The owner has not recorded a result.
  kUnknown,  ///< The owner was fenced before it recorded a result.
  kResolved,
};

/// The state of a key and of its last claim.
struct KeyView {
  KeyState state = KeyState::kClaimed;
  Digest caller;
  Digest body;
  ClaimId owner;
  Incarnation author;
  ResultCode code = ResultCode::kOk;
  std::string result;
  /// The result's body exceeded the space for retained results; only its code is known.
  bool result_dropped = false;

  bool operator==(const KeyView&) const = default;
};

/// Folds the stream `claims`. All readers whose history covers the retention window reach the same
/// state. Not thread-safe.
class ClaimsFold {
 public:
  /// Applies one record.
  /// @param time_ms Unix time of the append, from the log service; the fold uses no other clock.
  /// @returns the decisions on the record's claims, in order.
  std::vector<ClaimDecision> Apply(std::int64_t time_ms, const std::string& payload);

  /// @returns the key, or nullptr when it has no claim.
  const KeyView* Find(const IdempotencyKey& key) const;

  bool IsFenced(const Incarnation& incarnation) const { return m_fences.contains(incarnation); }

  /// @returns the time of the last record.
  Milliseconds LogTime() const { return m_log_time; }

  /// @returns the time of the last record of an author, or 0.
  Milliseconds LastHeartbeat(const Incarnation& incarnation) const;

  std::size_t KeyCount() const { return m_keys.size(); }

 private:
  ClaimVerdict ApplyClaim(Milliseconds time, const Incarnation& author, const ClaimMade& claim);
  void ApplyResult(const ResultRecorded& result);
  void ApplyWithdrawal(const ClaimWithdrawn& withdrawal);
  void ApplyFence(const IncarnationFenced& fence);
  void Expire();

  std::map<IdempotencyKey, KeyView> m_keys;
  std::set<std::pair<Milliseconds, IdempotencyKey>> m_expiry;
  std::map<Incarnation, Milliseconds> m_fences;
  std::map<Incarnation, Milliseconds> m_last_heartbeats;
  std::size_t m_result_bytes = 0;
  Milliseconds m_log_time{0};
};

}  // namespace endivewood
