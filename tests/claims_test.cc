/// @file
/// Tests of the fold of the stream `claims`, also in a model of entries that race for keys.
#include "claims.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "claim_log.h"
#include "config.h"

namespace endivewood::testing {
namespace {

constexpr std::int64_t kStart = 1'800'000'000'000;

IdempotencyKey Key(int number, std::int64_t time_ms = kStart) {
  const std::string digits = std::to_string(number);
  return IdempotencyKey(std::to_string(time_ms / 1000) + "-" +
                        std::string(32 - digits.size(), '0') + digits);
}

Incarnation Author(int number) { return Incarnation("entry-" + std::to_string(number)); }

ClaimMade ClaimOf(const std::string& id, int key, const std::string& body = "body") {
  return {.id = ClaimId(id), .key = Key(key), .caller = Digest("caller"), .body = Digest(body)};
}

std::string Batch(int author, std::vector<ClaimEvent> events) {
  return EncodeClaimBatch({.author = Author(author), .events = std::move(events)});
}

ClaimVerdict VerdictOf(ClaimsFold* fold, std::int64_t time_ms, int author, const ClaimMade& claim) {
  return fold->Apply(time_ms, Batch(author, {claim})).at(0).verdict;
}

// Guards against two owners of one key, and against a key that answers another caller's request.
TEST_CASE("the first claim in log order owns the key") {
  ClaimsFold fold;
  CHECK(VerdictOf(&fold, kStart, 1, ClaimOf("a", 1)) == ClaimVerdict::kOwned);
  CHECK(VerdictOf(&fold, kStart, 2, ClaimOf("b", 1)) == ClaimVerdict::kAlreadyClaimed);
  CHECK(VerdictOf(&fold, kStart, 2, ClaimOf("c", 1, "other")) == ClaimVerdict::kMismatch);
  fold.Apply(kStart, Batch(2, {ResultRecorded{.id = ClaimId("b"), .key = Key(1), .body = "x"}}));
  CHECK(fold.Find(Key(1))->state == KeyState::kClaimed);
  fold.Apply(kStart, Batch(1, {ResultRecorded{.id = ClaimId("a"), .key = Key(1), .body = "y"}}));
  CHECK(fold.Find(Key(1))->result == "y");
}

// Guards against a second run after a fence: a fence doesn't free a key that was claimed before it.
TEST_CASE("a fence voids later claims and leaves earlier ones unknown") {
  ClaimsFold fold;
  CHECK(VerdictOf(&fold, kStart, 1, ClaimOf("a", 1)) == ClaimVerdict::kOwned);
  fold.Apply(kStart, Batch(2, {IncarnationFenced{.incarnation = Author(1)}}));
  CHECK(fold.Find(Key(1))->state == KeyState::kUnknown);
  CHECK(VerdictOf(&fold, kStart, 2, ClaimOf("b", 1)) == ClaimVerdict::kAlreadyClaimed);
  CHECK(VerdictOf(&fold, kStart, 1, ClaimOf("c", 2)) == ClaimVerdict::kVoidFenced);
  CHECK(VerdictOf(&fold, kStart, 2, ClaimOf("d", 2)) == ClaimVerdict::kOwned);
  // The paused owner continues and records its result.
  fold.Apply(kStart, Batch(1, {ResultRecorded{.id = ClaimId("a"), .key = Key(1), .body = "y"}}));
  CHECK(fold.Find(Key(1))->state == KeyState::kResolved);
}

// Guards against an abandoned claim that blocks its key forever, and one that runs later.
TEST_CASE("a withdrawn claim frees the key for the next claim only") {
  ClaimsFold fold;
  CHECK(VerdictOf(&fold, kStart, 1, ClaimOf("a", 1)) == ClaimVerdict::kOwned);
  fold.Apply(kStart, Batch(1, {ClaimWithdrawn{.id = ClaimId("a"), .key = Key(1)}}));
  CHECK(VerdictOf(&fold, kStart, 2, ClaimOf("b", 1)) == ClaimVerdict::kOwned);
  fold.Apply(kStart, Batch(1, {ClaimWithdrawn{.id = ClaimId("a"), .key = Key(1)}}));
  CHECK(fold.Find(Key(1))->owner == ClaimId("b"));
}

// Guards against unbounded state, and against an expired key that can be owned a second time.
TEST_CASE("state is bounded by the retention window") {
  ClaimsFold fold;
  for (std::int64_t key = 0; key < 1000; ++key) {
    const std::int64_t time = kStart + key * 10'000;
    const ClaimMade claim{.id = ClaimId(std::to_string(key)),
                          .key = Key(static_cast<int>(key), time)};
    CHECK(VerdictOf(&fold, time, 1, claim) == ClaimVerdict::kOwned);
  }
  CHECK(fold.KeyCount() <= (config::kClaimRetentionMs + config::kClaimClockSkewMs) / 10'000 + 1);
  CHECK(fold.Find(Key(0)) == nullptr);
  CHECK(VerdictOf(&fold, kStart + 9'990'000, 2, ClaimOf("late", 0)) == ClaimVerdict::kVoidExpired);
}

// Guards against malformed keys that the entry and the fold would treat differently.
TEST_CASE("malformed keys and records are refused") {
  const std::string hex(32, 'a');
  CHECK(KeyTime(IdempotencyKey("12-" + hex)) == Milliseconds(12000));
  for (const std::string& text : {std::string(), hex, "-" + hex, "12-" + hex + "a", "1x-" + hex,
                                  "12-" + std::string(32, 'A'), "1234567890123-" + hex}) {
    CHECK_FALSE(KeyTime(IdempotencyKey(text)));
  }
  ClaimsFold fold;
  CHECK(fold.Apply(kStart, "not msgpack").empty());
  CHECK(fold.Apply(kStart, Batch(1, {}).substr(1)).empty());
}

// Guards against an append rate above the entry's limit, and a budget that is never refilled.
TEST_CASE("appends stay within their budget") {
  AppendBudget budget;
  int taken = 0;
  for (Milliseconds now(0); now < Milliseconds(10'000); ++now) {
    if (budget.TryTake(now) == Milliseconds(0)) ++taken;
  }
  CHECK(taken <= 10 * config::kClaimAppendsPerSecond + config::kClaimAppendBurst + 10);
  CHECK(taken >= 10 * config::kClaimAppendsPerSecond);
}

/// One attempt of a caller through one entry.
struct Attempt {
  int entry = 0;
  int key = 0;
  ClaimId id;
  bool decided = false;
  bool abandoned = false;
};

/// A model of entries that race for keys: each entry has read the log up to a different offset, and
/// appends may be delayed, entries paused and fenced.
class Model {
 public:
  Model(int entries, bool claims_first) : m_claims_first(claims_first), m_read(entries, 0) {
    m_folds.resize(entries);
  }

  void Start(int entry, int key) {
    Attempt attempt{.entry = entry, .key = key, .id = ClaimId(std::to_string(m_attempts.size()))};
    if (!m_claims_first) {
      Forward(&attempt);
    } else {
      m_in_flight.push_back(Batch(entry, {ClaimOf(attempt.id.str(), key)}));
    }
    m_attempts.push_back(attempt);
  }

  /// Moves one of the appends in flight to the log; they may arrive in any order.
  void Deliver(std::size_t choice) {
    if (m_in_flight.empty()) return;
    const auto chosen = m_in_flight.begin() + static_cast<long>(choice % m_in_flight.size());
    m_log.push_back(*chosen);
    m_in_flight.erase(chosen);
  }

  void Fence(int entry) {
    m_log.push_back(Batch(99, {IncarnationFenced{.incarnation = Author(entry)}}));
  }

  void Abandon(std::size_t choice) {
    if (m_attempts.empty()) return;
    Attempt& attempt = m_attempts[choice % m_attempts.size()];
    if (!attempt.decided) attempt.abandoned = true;
  }

  /// An entry reads its next record, at any time after the append. If its claim owns the key, it
  /// then forwards or refuses the request.
  void Read(int entry, bool refuse) {
    if (m_read[entry] >= m_log.size()) return;
    for (const auto& decision : m_folds[entry].Apply(kStart, m_log[m_read[entry]++])) {
      for (Attempt& attempt : m_attempts) {
        if (attempt.id != decision.id || attempt.entry != entry || attempt.decided) continue;
        Decide(&attempt, decision.verdict, refuse);
      }
    }
  }

  void Check() const {
    for (const auto& [key, count] : m_effects) RC_ASSERT(count <= 1);
    for (const int key : m_answered_not_run) RC_ASSERT(!m_effects.contains(key));
  }

 private:
  void Decide(Attempt* attempt, ClaimVerdict verdict, bool refuse) {
    attempt->decided = true;
    if (verdict != ClaimVerdict::kOwned) return;
    const IdempotencyKey key = Key(attempt->key);
    if (attempt->abandoned) {
      m_in_flight.push_back(Batch(attempt->entry, {ClaimWithdrawn{.id = attempt->id, .key = key}}));
    } else if (refuse) {
      m_answered_not_run.insert(attempt->key);
      m_in_flight.push_back(Batch(
          attempt->entry,
          {ResultRecorded{.id = attempt->id, .key = key, .code = ResultCode::kNotRunOverload}}));
    } else {
      Forward(attempt);
    }
  }

  void Forward(Attempt* attempt) {
    ++m_effects[attempt->key];
    m_in_flight.push_back(
        Batch(attempt->entry,
              {ResultRecorded{.id = attempt->id, .key = Key(attempt->key), .body = "r"}}));
  }

  bool m_claims_first;
  std::vector<ClaimsFold> m_folds;
  std::vector<std::size_t> m_read;
  std::vector<std::string> m_log;
  std::vector<std::string> m_in_flight;
  std::vector<Attempt> m_attempts;
  std::map<int, int> m_effects;
  std::set<int> m_answered_not_run;
};

void RunModel(bool claims_first) {
  constexpr int kEntries = 3;
  Model model(kEntries, claims_first);
  constexpr int kMaxSteps = 400;
  const auto steps = *rc::gen::resize(
      kMaxSteps, rc::gen::container<std::vector<std::pair<int, int>>>(
                     rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 1000))));
  for (const auto& [kind, choice] : steps) {
    if (kind < 3) model.Start(choice % kEntries, choice % 4);
    if (kind >= 3 && kind < 6) model.Deliver(static_cast<std::size_t>(choice));
    if (kind >= 6 && kind < 10) model.Read(choice % kEntries, choice % 5 == 0);
    if (kind == 10) model.Fence(choice % kEntries);
    if (kind == 11) model.Abandon(static_cast<std::size_t>(choice));
    model.Check();
  }
}

// Guards against duplicate effects and wrong "not run" answers when entries pause, are fenced, lose
// answers and append in any order.
TEST_CASE("a key has at most one effect, and none after a not-run answer") {
  CHECK(rc::check([] { RunModel(true); }));
}

// Shows that the model finds the duplicate effects of an entry that forwards without a claim.
TEST_CASE("forwarding without a claim fails the same model") {
  CHECK_FALSE(rc::check([] { RunModel(false); }));
}

// Guards against fencing an author whose records could not be read while the platform was
// unreachable.
TEST_CASE("an author is fenced only after silence in log time") {
  ClaimsFold fold;
  fold.Apply(kStart, Batch(1, {}));
  fold.Apply(kStart + config::kFenceAfterMs, Batch(2, {}));
  CHECK_FALSE(IsFenceDue(fold, Author(1), Milliseconds(0)));
  fold.Apply(kStart + config::kFenceAfterMs + 1, Batch(2, {}));
  CHECK(IsFenceDue(fold, Author(1), Milliseconds(0)));
  CHECK_FALSE(IsFenceDue(fold, Author(1), fold.LogTime()));
  CHECK_FALSE(IsFenceDue(fold, Author(1), Milliseconds::max()));
}

}  // namespace
}  // namespace endivewood::testing
