/// @file
/// One holder's term for a partition of the job store, and the handover between holders.
#include "partition_term.h"

#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kNow{1000};

PartitionTermOptions OptionsOf(std::uint64_t epoch) {
  return {.partition = {.topic = "jobs", .number = 3},
          .epoch = epoch,
          .member = "127.0.0.1:1/life",
          .min_holder_gap = Milliseconds(3000)};
}

/// Returns an active term for an empty partition.
std::unique_ptr<PartitionTerm> ActiveTerm(std::uint64_t epoch) {
  SilenceEvents();
  auto term = std::make_unique<PartitionTerm>(OptionsOf(epoch), kNow);
  CHECK(std::holds_alternative<ClaimEpoch>(*term->TakeCall(kNow)));
  term->OnReply({.status = StoreStatus::kOk}, kNow, Milliseconds{0});
  CHECK(std::holds_alternative<ReadNewest>(*term->TakeCall(kNow)));
  term->OnReply({.status = StoreStatus::kOk}, kNow, Milliseconds{0});
  REQUIRE(term->active());
  return term;
}

AppendKeyed TakeAppend(PartitionTerm* term, Milliseconds now) {
  const auto call = term->TakeCall(now);
  REQUIRE(call);
  return std::get<AppendKeyed>(*call);
}

JobSpec Spec(const std::string& id) {
  return {
      .id = JobId(id), .queue = QueueName("q"), .service = test_service, .steps = {Step(1, 100)}};
}

// Guards against accepted jobs that are answered as unknown because a page of them wasn't read.
TEST_CASE("a term isn't active while the log service says that there are more pages") {
  SilenceEvents();
  PartitionTerm term(OptionsOf(7), kNow);
  term.TakeCall(kNow);
  term.OnReply({.status = StoreStatus::kOk}, kNow, Milliseconds{0});
  term.TakeCall(kNow);
  StoreReply page{.status = StoreStatus::kOk};
  page.more = true;
  term.OnReply(page, kNow, Milliseconds{0});
  CHECK_FALSE(term.active());
  const Milliseconds later = kNow + Milliseconds(config::kStoreRetryMs);
  const auto again = term.TakeCall(later);
  REQUIRE(again);
  CHECK(std::holds_alternative<ReadNewest>(*again));
  term.OnReply({.status = StoreStatus::kOk}, later, Milliseconds{0});
  CHECK(term.active());
}

// Guards against an append that the log service takes for a repeat of an earlier holder's append,
// and acknowledges without storing.
TEST_CASE("no two terms use one sequence number") {
  const auto first = ActiveTerm(7);
  const auto second = ActiveTerm(8);
  const std::uint64_t early = TakeAppend(first.get(), kNow).sequence;
  const std::uint64_t late = TakeAppend(second.get(), kNow).sequence;
  CHECK(late >= early + config::kAppendsPerEpoch);
}

// Guards against accepting a job whose append may not have been stored.
TEST_CASE("an append without an answer is repeated unchanged until its result is known") {
  const auto term = ActiveTerm(7);
  term->scheduler().Submit(Spec("job"), test_policy, kNow);
  bool stored = false;
  term->WhenDurable(term->scheduler().has_changes() ? 2 : 0, [&](bool ok) { stored = ok; });
  const AppendKeyed sent = TakeAppend(term.get(), kNow);
  term->scheduler().Submit(Spec("other"), test_policy, kNow);
  term->OnReply({.status = StoreStatus::kNoAnswer}, kNow, Milliseconds{0});
  CHECK_FALSE(stored);
  CHECK_FALSE(term->TakeCall(kNow));
  const Milliseconds later = kNow + Milliseconds(config::kStoreRetryMs);
  const AppendKeyed repeated = TakeAppend(term.get(), later);
  CHECK(repeated.sequence == sent.sequence);
  CHECK(repeated.records == sent.records);
  term->OnReply({.status = StoreStatus::kOk}, later, Milliseconds{0});
  CHECK(stored);
  CHECK(TakeAppend(term.get(), later + Milliseconds(100)).sequence == sent.sequence + 1);
}

// Guards against a caller that waits forever, or is told that its job was refused, when the
// holder's term ends while the append is in flight.
TEST_CASE("a fenced term reports pending changes as not known to be stored") {
  const auto term = ActiveTerm(7);
  const auto verdict = term->scheduler().Submit(Spec("job"), test_policy, kNow);
  std::optional<bool> stored;
  term->WhenDurable(verdict.change, [&](bool ok) { stored = ok; });
  TakeAppend(term.get(), kNow);
  term->OnReply({.status = StoreStatus::kFenced}, kNow, Milliseconds{0});
  CHECK(term->state() == PartitionTerm::State::kEnded);
  CHECK(stored == false);
  CHECK_FALSE(term->TakeCall(kNow + Milliseconds(10000)));
}

// Guards against new jobs that wait until their callers' deadlines while the store is unavailable.
TEST_CASE("the store is delayed while an append waits too long") {
  const auto term = ActiveTerm(7);
  TakeAppend(term.get(), kNow);
  term->OnReply({.status = StoreStatus::kRefused}, kNow, Milliseconds{0});
  CHECK_FALSE(term->IsStoreDelayed(kNow));
  CHECK(term->IsStoreDelayed(kNow + Milliseconds(config::kStoreDelayedMs + 1)));
}

// Guards against a planner that gives orders while an earlier planner may still do so.
TEST_CASE("a holder asks the earlier holders until each has stopped") {
  SilenceEvents();
  Handover handover({.member = "c", .partition = 0, .max_wait = Milliseconds(6000)}, "b a", kNow);
  CHECK(handover.HolderRecord() == "c a b");
  CHECK(handover.TakeMembersToAsk(kNow).size() == 2);
  CHECK(handover.TakeMembersToAsk(kNow).empty());
  handover.OnStopped("a");
  CHECK_FALSE(handover.settled(kNow));
  handover.OnStopped("b");
  CHECK(handover.settled(kNow));
}

// Guards against a holder that never starts working because an earlier one can't be reached.
TEST_CASE("an earlier holder that doesn't answer counts as stopped after a timeout") {
  Handover handover({.member = "b", .partition = 0, .max_wait = Milliseconds(6000)}, "a", kNow);
  CHECK_FALSE(handover.settled(kNow + Milliseconds(5999)));
  CHECK(handover.settled(kNow + Milliseconds(6000)));
}

// Guards against waiting at the first start, when there was no earlier holder.
TEST_CASE("the first holder doesn't wait for a handover") {
  const Handover handover({.member = "a"}, "", kNow);
  CHECK(handover.settled(kNow));
}

}  // namespace
}  // namespace endivewood::testing
