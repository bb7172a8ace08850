/// @file
/// Folds the stream `claims` into the state of each idempotency key.
#include "claims.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>
#include <utility>

#include "codec.h"
#include "config.h"

// clang-format off
ENDIVEWOOD_CODEC(endivewood::ClaimMade, v.id, v.key, v.caller, v.body)
ENDIVEWOOD_CODEC(endivewood::ClaimWithdrawn, v.id, v.key)
ENDIVEWOOD_CODEC(endivewood::IncarnationFenced, v.incarnation)
MSGPACK_ADD_ENUM(endivewood::ResultCode)
ENDIVEWOOD_CODEC(endivewood::ResultRecorded, v.id, v.key, v.code, v.body)
// clang-format on

namespace endivewood {
namespace {

constexpr std::size_t kKeyDigits = 32;
constexpr std::size_t kMaxEpochDigits = 12;

bool IsLowerHex(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

}  // namespace

Digest DigestOf(const std::string& bytes) {
  static const boost::uuids::name_generator_sha1 generator(boost::uuids::ns::oid());
  return Digest(to_string(generator(bytes)));
}

std::optional<Milliseconds> KeyTime(const IdempotencyKey& key) {
  const std::string& text = key.str();
  const std::size_t dash = text.find('-');
  if (dash == std::string::npos || dash == 0 || dash > kMaxEpochDigits) return std::nullopt;
  const std::string digits = text.substr(dash + 1);
  if (digits.size() != kKeyDigits) return std::nullopt;
  if (!std::all_of(digits.begin(), digits.end(), IsLowerHex)) return std::nullopt;
  std::uint64_t seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + dash, seconds);
  if (error != std::errc() || end != text.data() + dash) return std::nullopt;
  return std::chrono::seconds(seconds);
}

bool IsWithinRetention(const IdempotencyKey& key, Milliseconds now) {
  const auto time = KeyTime(key);
  if (!time) return false;
  const bool too_old = now > *time + Milliseconds(config::kClaimRetentionMs);
  const bool too_new = now + Milliseconds(config::kClaimClockSkewMs) < *time;
  return !too_old && !too_new;
}

std::string EncodeClaimBatch(const ClaimBatch& batch) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(batch.author);
  packer.pack_array(static_cast<std::uint32_t>(batch.events.size()));
  for (const ClaimEvent& event : batch.events) {
    packer.pack_array(2);
    packer.pack(event.index());
    std::visit([&](const auto& value) { packer.pack(value); }, event);
  }
  return std::string(buffer.data(), buffer.size());
}

std::optional<ClaimBatch> DecodeClaimBatch(const std::string& payload) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size());
    using Row = std::tuple<std::size_t, msgpack::object>;
    const auto [author, rows] = handle.get().as<std::tuple<Incarnation, std::vector<Row>>>();
    ClaimBatch batch{.author = author, .events = {}};
    for (const auto& [kind, object] : rows) {
      auto event = DecodeAlternative<ClaimEvent>(kind, object);
      if (!event) return std::nullopt;
      batch.events.push_back(std::move(*event));
    }
    return batch;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::vector<ClaimDecision> ClaimsFold::Apply(std::int64_t time_ms, const std::string& payload) {
  std::vector<ClaimDecision> decisions;
  const Milliseconds time(time_ms);
  m_log_time = std::max(m_log_time, time);
  const auto batch = DecodeClaimBatch(payload);
  if (!batch) return decisions;
  m_last_heartbeats[batch->author] = m_log_time;
  for (const ClaimEvent& event : batch->events) {
    if (const auto* claim = std::get_if<ClaimMade>(&event)) {
      const ClaimVerdict verdict = ApplyClaim(time, batch->author, *claim);
      decisions.push_back({.id = claim->id, .key = claim->key, .verdict = verdict});
    } else if (const auto* result = std::get_if<ResultRecorded>(&event)) {
      ApplyResult(*result);
    } else if (const auto* withdrawal = std::get_if<ClaimWithdrawn>(&event)) {
      ApplyWithdrawal(*withdrawal);
    } else if (const auto* fence = std::get_if<IncarnationFenced>(&event)) {
      ApplyFence(*fence);
    }
  }
  Expire();
  return decisions;
}

ClaimVerdict ClaimsFold::ApplyClaim(Milliseconds time, const Incarnation& author,
                                    const ClaimMade& claim) {
  if (!IsWithinRetention(claim.key, time)) return ClaimVerdict::kVoidExpired;
  if (IsFenced(author)) return ClaimVerdict::kVoidFenced;
  const auto found = m_keys.find(claim.key);
  if (found != m_keys.end()) {
    KeyView& key = found->second;
    if (key.caller != claim.caller || key.body != claim.body) return ClaimVerdict::kMismatch;
    if (key.owner == claim.id) return ClaimVerdict::kOwned;
    if (key.state != KeyState::kFree) return ClaimVerdict::kAlreadyClaimed;
  }
  KeyView& key = m_keys[claim.key];
  key.state = KeyState::kClaimed;
  key.caller = claim.caller;
  key.body = claim.body;
  key.owner = claim.id;
  key.author = author;
  m_expiry.emplace(*KeyTime(claim.key), claim.key);
  return ClaimVerdict::kOwned;
}

void ClaimsFold::ApplyResult(const ResultRecorded& result) {
  const auto found = m_keys.find(result.key);
  if (found == m_keys.end() || found->second.owner != result.id) return;
  KeyView& key = found->second;
  // A fenced owner may still report its result, which then replaces "unknown".
  if (key.state != KeyState::kClaimed && key.state != KeyState::kUnknown) return;
  key.state = KeyState::kResolved;
  key.code = result.code;
  key.result_dropped = m_result_bytes + result.body.size() > config::kMaxRetainedResultBytes;
  if (key.result_dropped) return;
  key.result = result.body;
  m_result_bytes += result.body.size();
}

void ClaimsFold::ApplyWithdrawal(const ClaimWithdrawn& withdrawal) {
  const auto found = m_keys.find(withdrawal.key);
  if (found == m_keys.end() || found->second.owner != withdrawal.id) return;
  if (found->second.state == KeyState::kResolved) return;
  found->second.state = KeyState::kFree;
  found->second.owner = ClaimId();
}

void ClaimsFold::ApplyFence(const IncarnationFenced& fence) {
  m_fences[fence.incarnation] = m_log_time;
  for (auto& [name, key] : m_keys) {
    if (key.author != fence.incarnation) continue;
    if (key.state == KeyState::kClaimed) key.state = KeyState::kUnknown;
  }
}

void ClaimsFold::Expire() {
  // A later claim of an expired key is void by its record time, so the key can't be owned again.
  // The skew allows for record times that step back.
  const Milliseconds keep(config::kClaimRetentionMs + config::kClaimClockSkewMs);
  while (!m_expiry.empty() && m_expiry.begin()->first + keep < m_log_time) {
    const auto found = m_keys.find(m_expiry.begin()->second);
    if (found != m_keys.end()) {
      m_result_bytes -= found->second.result.size();
      m_keys.erase(found);
    }
    m_expiry.erase(m_expiry.begin());
  }
  const Milliseconds fences_from = m_log_time - Milliseconds(config::kFenceRetentionMs);
  std::erase_if(m_fences, [&](const auto& item) { return item.second < fences_from; });
  const Milliseconds heartbeats_from = m_log_time - keep;
  std::erase_if(m_last_heartbeats, [&](const auto& item) { return item.second < heartbeats_from; });
}

const KeyView* ClaimsFold::Find(const IdempotencyKey& key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &found->second;
}

Milliseconds ClaimsFold::LastHeartbeat(const Incarnation& incarnation) const {
  const auto found = m_last_heartbeats.find(incarnation);
  return found == m_last_heartbeats.end() ? Milliseconds(0) : found->second;
}

}  // namespace endivewood
