/// @file
/// The fold of the stream `claims`: which request owns an idempotency key and what became of it.
///
/// At most once: the first claim of a key in log order owns the key, and only the author of that
/// claim forwards the request. A fence never frees a key that has a claim ahead of it, so an author
/// that is paused between reading its claim and sending the work, is fenced and continues, still
/// runs the request at most once. Other callers have been told that the effect is unknown.
///
/// Told not run means not run: a refusal is recorded only by the owner of the key, which then never
/// forwards the request. A claim that its author gave up is withdrawn by the author alone.
#pragma once

#include <endivewood/endivewood.h>

#include <set>

namespace endivewood {

/// "<epoch seconds>-<32 hexadecimal digits>", chosen by the caller.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/// 32 hexadecimal digits that identify one claim of one request.
using ClaimId = Name<struct ClaimIdTag>;
/// Digest that compares callers or bodies without keeping them.
using Digest = Name<struct DigestTag>;

/// @returns the digest of some bytes.
Digest DigestOf(const std::string& bytes);

/// @returns the Unix time that a key carries, or no value when the key is malformed.
std::optional<Milliseconds> KeyTime(const IdempotencyKey& key);

/// @returns whether a key may be claimed at a time: not expired and not far in the future.
bool IsWithinRetention(const IdempotencyKey& key, Milliseconds now);

// ---------------------------------------------------------------------------------------------
// Records

/// A request asks for the ownership of a key.
struct ClaimMade {
  ClaimId id;
  IdempotencyKey key;
  Digest caller;
  Digest body;

  bool operator==(const ClaimMade&) const = default;
};

/// The owner's outcome. A not-run code is the tombstone of the key.
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

/// Later claims of the incarnation are void; its open claims have an unknown effect.
struct IncarnationFenced {
  Incarnation incarnation;

  bool operator==(const IncarnationFenced&) const = default;
};

using ClaimEvent = std::variant<ClaimMade, ResultRecorded, ClaimWithdrawn, IncarnationFenced>;

/// One record of the stream. A batch without events is a sign of life of its author.
struct ClaimBatch {
  Incarnation author;
  std::vector<ClaimEvent> events;

  bool operator==(const ClaimBatch&) const = default;
};

/// @returns the batch as the payload of a log record (msgpack).
std::string EncodeClaimBatch(const ClaimBatch& batch);

/// @returns the batch, or no value when the payload is not one.
std::optional<ClaimBatch> DecodeClaimBatch(const std::string& payload);

// ---------------------------------------------------------------------------------------------
// Fold

/// What the fold decided about one claim.
enum class ClaimVerdict : std::uint8_t {
  kOwned,        ///< The first claim of the key: its author forwards the request.
  kHeld,         ///< Another claim owns the key or its result is recorded.
  kRefused,      ///< The key belongs to another caller or body.
  kVoidFenced,   ///< The author was fenced before this claim.
  kVoidExpired,  ///< The key was outside the retention window when the claim was recorded.
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

/// A key as the fold holds it.
struct KeyView {
  KeyState state = KeyState::kClaimed;
  Digest caller;
  Digest body;
  ClaimId owner;
  Incarnation author;
  ResultCode code = ResultCode::kOk;
  std::string result;
  /// The result's body was too large to retain; only its code is known.
  bool result_dropped = false;

  bool operator==(const KeyView&) const = default;
};

/// Folds the stream `claims`. Deterministic for every reader whose history covers the retention
/// window. Not thread-safe.
class ClaimsFold {
 public:
  /// Applies one record.
  /// @param time_ms Unix time of the append, from the log service; the fold has no other time.
  /// @returns the decisions on the record's claims, in order.
  std::vector<ClaimDecision> Apply(std::int64_t time_ms, const std::string& payload);

  /// @returns the key, or nullptr when it has no claim.
  const KeyView* Find(const IdempotencyKey& key) const;

  bool IsFenced(const Incarnation& incarnation) const { return m_fences.contains(incarnation); }

  /// @returns the time of the last record.
  Milliseconds LogTime() const { return m_log_time; }

  /// @returns the time of the last record of an author, or 0.
  Milliseconds LastSignOfLife(const Incarnation& incarnation) const;

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
  std::map<Incarnation, Milliseconds> m_signs_of_life;
  std::size_t m_result_bytes = 0;
  Milliseconds m_log_time{0};
};

}  // namespace endivewood
