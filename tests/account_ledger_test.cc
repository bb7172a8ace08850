/// @file
/// The ledger of the accounts' limits: what it hands out, and what it keeps over its own restart.
#include "account_ledger.h"

#include <catch2/catch.hpp>

#include "config_accounts.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
using endivewood::testing::SilenceEvents;

namespace {

const AccountName account_a("a");

std::vector<ClientAccount> Accounts(std::int64_t millicores) {
  ClientAccount account{.name = account_a, .keys = {}};
  account.limit.cpu_millicores = millicores;
  return {account};
}

ResourceTotal Cpu(std::int64_t millicores) { return {.cpu_millicores = millicores}; }

struct CallOptions {
  std::uint64_t epoch = 1;
  std::optional<std::int64_t> keep = 0;
  std::int64_t running = 0;
  std::int64_t want = 0;
  std::int64_t next = 0;
  std::int64_t task = 0;
};

class LedgerCalls {
 public:
  explicit LedgerCalls(std::int64_t limit) : ledger(records), m_limit(limit) {
    SilenceEvents();
    ledger.SetAccounts(Accounts(limit));
  }

  ShareCall Call(int partition, const CallOptions& options) {
    ShareRequest request{.account = account_a, .keep = std::nullopt, .limit = Cpu(m_limit)};
    if (options.keep) request.keep = Cpu(*options.keep);
    request.running = Cpu(options.running);
    request.used = request.running;
    request.want = Cpu(options.want);
    request.next = Cpu(options.next);
    request.task = Cpu(options.task == 0 ? options.next : options.task);
    return {.service = {},
            .partition = partition,
            .epoch = options.epoch,
            .sequence = ++m_sequence,
            .requests = {request}};
  }

  GrantedShare Send(int partition, const CallOptions& options) {
    const auto answer = ledger.Handle(Call(partition, options), now);
    REQUIRE(answer);
    Store();
    return answer->reply.shares.at(0);
  }

  void Store() {
    for (const KeyedRecord& record : ledger.TakeRecords()) records[record.key] = record.value;
  }

  void Restart() {
    ledger = AccountLedger(records);
    ledger.SetAccounts(Accounts(m_limit));
  }

  void SetLimit(std::int64_t limit) {
    m_limit = limit;
    ledger.SetAccounts(Accounts(limit));
  }

  std::map<std::string, std::string> records;
  AccountLedger ledger;
  Milliseconds now{1000};

 private:
  std::int64_t m_limit = 0;
  std::uint64_t m_sequence = 0;
};

}  // namespace

// Guards against a limit that is handed out twice.
TEST_CASE("the shares of an account never exceed its limit") {
  LedgerCalls calls(100);
  CHECK(calls.Send(1, {.want = 70, .next = 10}).share == Cpu(70));
  CHECK(calls.Send(2, {.want = 70, .next = 10}).share == Cpu(30));
  CHECK(calls.Send(3, {.want = 70, .next = 10}).share == Cpu(0));
  CHECK(calls.ledger.HandedOut(account_a) == Cpu(100));
}

// Guards against a service that waits for seconds for a part that another one doesn't use.
TEST_CASE("a part that is given back goes to the partition that waits") {
  LedgerCalls calls(100);
  CHECK(calls.Send(1, {.want = 100, .next = 10}).share == Cpu(100));
  CHECK(calls.Send(2, {.want = 60, .next = 10}).share == Cpu(0));
  CHECK(calls.Send(1, {.keep = 100, .want = 100}).contended);
  CHECK(calls.Send(1, {.keep = 20, .running = 20, .want = 20}).share == Cpu(20));
  CHECK(calls.Send(2, {.want = 60, .next = 10}).share == Cpu(60));
}

// Guards against a service that gets nothing because another one refills what comes free.
TEST_CASE("under contention a partition gets no more than its fair share of free parts") {
  LedgerCalls calls(100);
  CHECK(calls.Send(1, {.want = 100, .next = 10}).share == Cpu(100));
  CHECK(calls.Send(2, {.want = 100, .next = 10}).share == Cpu(0));
  const GrantedShare refill = calls.Send(1, {.keep = 40, .running = 40, .want = 100, .next = 50});
  CHECK(refill.contended);
  CHECK(refill.fair == Cpu(50));
  CHECK(refill.share == Cpu(50));
  CHECK(calls.Send(2, {.want = 100, .next = 10}).share == Cpu(50));
}

// Guards against two partitions that each hold half of what one task needs.
TEST_CASE("no part is handed out with which the next task can't start") {
  LedgerCalls calls(20);
  CHECK(calls.Send(1, {.want = 13, .next = 13}).share == Cpu(13));
  CHECK(calls.Send(2, {.want = 13, .next = 13}).share == Cpu(0));
  CHECK(calls.Send(1, {.keep = 0, .want = 13, .next = 13}).share == Cpu(13));
}

// Guards against a delayed call that takes a part from a partition that has got it since.
TEST_CASE("older calls and calls of former holders change nothing") {
  LedgerCalls calls(100);
  const ShareCall late = calls.Call(1, {.keep = 0});
  calls.Send(1, {.want = 50, .next = 10});
  CHECK_FALSE(calls.ledger.Handle(late, calls.now));
  calls.Restart();
  CHECK_FALSE(calls.ledger.Handle(late, calls.now));
  const ShareCall former = calls.Call(1, {.epoch = 1, .keep = 0});
  CHECK(calls.Send(1, {.epoch = 2, .keep = std::nullopt}).share == Cpu(50));
  CHECK_FALSE(calls.ledger.Handle(former, calls.now));
  CHECK(calls.ledger.HandedOut(account_a) == Cpu(50));
}

// Guards against a ledger's holder that was paused while the next one gave the part away: it must
// not answer before the store has confirmed that it is still the holder.
TEST_CASE("an answer that raises a share goes out after its change is stored") {
  LedgerCalls calls(100);
  calls.Send(1, {.want = 50, .next = 10});
  // The holder has given back what this ledger's memory still has.
  const auto again =
      calls.ledger.Handle(calls.Call(1, {.keep = 10, .running = 10, .want = 50}), calls.now);
  REQUIRE(again);
  CHECK(again->reply.shares.at(0).share == Cpu(50));
  CHECK(again->after_store);
  CHECK_FALSE(calls.ledger.TakeRecords().empty());
  const auto less = calls.ledger.Handle(calls.Call(1, {.keep = 20, .want = 20}), calls.now);
  REQUIRE(less);
  CHECK_FALSE(less->after_store);
}

// Guards against a lost ledger: shares stay with their partitions when its holder dies.
TEST_CASE("the next ledger goes on with the stored shares") {
  LedgerCalls calls(100);
  calls.Send(1, {.want = 60, .next = 10});
  calls.Restart();
  CHECK(calls.ledger.SharesOf(1).at(account_a) == Cpu(60));
  CHECK(calls.Send(2, {.want = 60, .next = 10}).share == Cpu(40));
}

// Guards against starts in one service while the work in another still exceeds a lowered limit.
TEST_CASE("while the shares exceed a lowered limit nothing is handed out") {
  LedgerCalls calls(100);
  calls.Send(1, {.want = 50, .next = 10});
  calls.Send(2, {.want = 50, .next = 10});
  calls.SetLimit(60);
  GrantedShare granted = calls.Send(1, {.keep = 50, .running = 50, .want = 60, .next = 55});
  CHECK(granted.over);
  CHECK(granted.share == Cpu(50));
  granted = calls.Send(2, {.keep = 5, .running = 5, .want = 20, .next = 6});
  CHECK_FALSE(granted.over);
  CHECK(granted.share == Cpu(10));
}

// Guards against a task that never runs because it is larger than its account's limit.
TEST_CASE("a task larger than the limit runs when nothing else does") {
  LedgerCalls calls(10);
  calls.Send(2, {.want = 4, .next = 4});
  CHECK(calls.Send(1, {.want = 10, .next = 13}).share == Cpu(0));
  calls.Send(2, {.keep = 0});
  const GrantedShare granted = calls.Send(1, {.want = 10, .next = 13});
  CHECK(granted.share == Cpu(13));
  CHECK_FALSE(granted.over);
  CHECK(calls.Send(2, {.want = 4, .next = 4}).share == Cpu(0));
  // Of a gang only the last member may exceed the limit.
  calls.Send(1, {.keep = 0});
  CHECK(calls.Send(1, {.want = 10, .next = 24, .task = 6}).share == Cpu(0));
  CHECK(calls.Send(1, {.want = 10, .next = 12, .task = 6}).share == Cpu(12));
}

// Guards against a partition whose holder has died and that keeps others from free parts.
TEST_CASE("the want of a silent partition is forgotten") {
  LedgerCalls calls(100);
  calls.Send(1, {.want = 100, .next = 10});
  calls.Send(2, {.want = 100, .next = 10});
  CHECK(calls.Send(1, {.keep = 100, .running = 100, .want = 100}).contended);
  calls.now += Milliseconds(config::kShareWantLifetimeMs);
  CHECK_FALSE(calls.Send(1, {.keep = 100, .running = 100, .want = 100}).contended);
}

}  // namespace endivewood::testing
