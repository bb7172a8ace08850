/// @file
/// A holder's shares of the accounts' limits: when it calls, what it keeps, and what an answer may
/// change.
#include "account_shares.h"

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

class SharesPlay {
 public:
  SharesPlay() : shares({.partition = 1, .epoch = 1}) {
    SilenceEvents();
    shares.SetAccounts(Accounts(100), {});
  }

  void Load(std::int64_t used, std::int64_t waiting = 0, std::int64_t next = 0) {
    AccountLoad load{.running = Cpu(used), .used = Cpu(used)};
    load.waiting = Cpu(waiting);
    load.next = Cpu(next);
    load.task = Cpu(next);
    shares.Update({{account_a, load}}, now);
  }

  ShareRequest Call() {
    now = std::max(now, shares.NextDue());
    const auto call = shares.TakeCall(now);
    REQUIRE(call);
    sequence = call->sequence;
    REQUIRE(call->requests.size() == 1);
    return call->requests.front();
  }

  bool Answer(std::int64_t share, bool contended = false, std::int64_t fair = 0,
              bool over = false) {
    return shares.OnReply({.sequence = sequence,
                           .shares = {{.account = account_a,
                                       .share = Cpu(share),
                                       .contended = contended,
                                       .fair = Cpu(fair),
                                       .over = over}}},
                          now);
  }

  bool MayStart(std::int64_t used, std::int64_t needed) {
    return shares.MayStart(account_a, Cpu(used), Cpu(needed));
  }

  /// Makes the holder know a share.
  void Begin(std::int64_t share) {
    Call();
    Answer(share);
  }

  AccountShares shares;
  Milliseconds now{1000};
  std::uint64_t sequence = 0;
};

}  // namespace

// Guards against limits where the configuration has none.
TEST_CASE("without accounts, or without limits, nothing is bounded and no call is made") {
  AccountShares shares({.partition = 1, .epoch = 1});
  CHECK_FALSE(shares.active());
  CHECK(shares.NextDue() == Milliseconds::max());
  CHECK(shares.MayStart(account_a, Cpu(1000), Cpu(1000)));
  shares.SetAccounts(Accounts(0), {});
  CHECK_FALSE(shares.active());
  CHECK(shares.MayStart(account_a, Cpu(1000), Cpu(1000)));
  shares.SetAccounts(Accounts(10), {});
  CHECK(shares.active());
  CHECK(shares.MayStart(AccountName("other"), Cpu(1000), Cpu(1000)));
  // The account has vanished: its jobs have to be completed.
  shares.SetAccounts(std::vector<ClientAccount>{}, {});
  CHECK(shares.MayStart(account_a, Cpu(1000), Cpu(1000)));
}

// Guards against a new holder that starts work beside that of the former one, or gives its share
// away.
TEST_CASE("a new holder starts nothing before it knows its share, and keeps that") {
  SharesPlay play;
  CHECK_FALSE(play.MayStart(0, 1));
  CHECK_FALSE(play.Call().keep);
  CHECK(play.Answer(40));
  CHECK(play.MayStart(30, 10));
  CHECK_FALSE(play.MayStart(30, 11));
  CHECK(play.shares.FirstShareOf(account_a) == Cpu(40));
}

// Guards against a peak that waits for a round trip for each task.
TEST_CASE("a waiting task causes a call at once, for more than it needs") {
  SharesPlay play;
  play.Begin(0);
  play.now += Milliseconds(1000);
  play.Load(0, 40, 5);
  CHECK(play.shares.NextDue() <= play.now);
  const ShareRequest request = play.Call();
  CHECK(request.want == Cpu(50));
  CHECK(request.next == Cpu(5));
  CHECK_FALSE(play.shares.TakeCall(play.now + Milliseconds(400)));
  CHECK(play.Answer(50));
  CHECK(play.MayStart(45, 5));
}

// Guards against an answer that arrives late and raises a share that has been given back since.
TEST_CASE("only the answer to the newest call raises a share") {
  SharesPlay play;
  play.Begin(0);
  play.Load(0, 40, 5);
  play.Call();
  const std::uint64_t older = play.sequence;
  play.shares.OnFailed(older, play.now);
  play.Load(0);
  play.Call();
  const std::uint64_t newer = play.sequence;
  play.sequence = older;
  CHECK_FALSE(play.Answer(50));
  CHECK_FALSE(play.MayStart(0, 1));
  play.sequence = newer;
  CHECK(play.Answer(10));
  CHECK_FALSE(play.Answer(60));
  CHECK_FALSE(play.MayStart(0, 11));
}

// Guards against parts that one service holds for seconds while another waits for them.
TEST_CASE("an unused part is kept for a while, and given back at once when others wait") {
  SharesPlay play;
  play.Begin(0);
  play.Load(0, 80, 5);
  play.Call();
  play.Answer(100);
  play.Load(80);
  play.now += Milliseconds(200);
  play.Load(10);
  CHECK(play.Call().keep == Cpu(100));
  play.Answer(100, /*contended=*/true, /*fair=*/100);
  CHECK(play.shares.NextDue() <= play.now + Milliseconds(config::kShareCallSpacingMs));
  const ShareRequest request = play.Call();
  CHECK(request.keep == Cpu(10));
  CHECK(request.want == Cpu(10));
  // It is lowered before the call goes out.
  CHECK_FALSE(play.MayStart(10, 1));
}

// Guards against a service that starts new work in every part that comes free, while another one
// gets none.
TEST_CASE("while others wait nothing starts beyond the fair part") {
  SharesPlay play;
  play.Begin(0);
  play.Load(0, 100, 5);
  play.Call();
  play.Answer(100);
  play.Load(90, 50, 5);
  play.Call();
  play.Answer(100, /*contended=*/true, /*fair=*/50);
  CHECK_FALSE(play.MayStart(90, 5));
  CHECK(play.MayStart(45, 5));
  play.Load(60, 50, 5);
  CHECK(play.Call().keep == Cpu(60));
  play.Answer(60, /*contended=*/true, /*fair=*/4);
  // A single task may be larger than the fair part.
  CHECK_FALSE(play.MayStart(1, 5));
  CHECK(play.MayStart(0, 5));
}

// Guards against a share that nobody uses and that stays with a service for good.
TEST_CASE("an unused part is given back after a while") {
  SharesPlay play;
  play.Begin(0);
  play.Load(0, 80, 5);
  play.Call();
  play.Answer(100);
  play.Load(80);
  for (int i = 0; i < 30; ++i) {
    play.now += Milliseconds(100);
    play.Load(0);
  }
  CHECK(play.Call().keep == Cpu(0));
  play.Answer(0);
  // Nothing is held or wanted: no more calls.
  CHECK(play.shares.NextDue() == Milliseconds::max());
}

// Guards against starts above a lowered limit, also by an answer that was on its way.
TEST_CASE("a lowered limit leaves the share that is used, and lets nothing start") {
  SharesPlay play;
  play.Begin(100);
  play.Load(50);
  play.Call();
  play.shares.SetAccounts(Accounts(60), {{account_a, Cpu(50)}});
  play.Answer(100);
  CHECK_FALSE(play.MayStart(50, 1));
  CHECK(play.Call().keep == Cpu(50));
  play.Answer(50, false, 0, /*over=*/true);
  play.Load(30);
  CHECK_FALSE(play.MayStart(30, 1));
  CHECK(play.Call().keep == Cpu(30));
  play.Answer(30, false, 0, /*over=*/false);
  CHECK_FALSE(play.MayStart(30, 1));
  play.Load(30, 20, 5);
  play.Call();
  CHECK(play.Answer(55));
  CHECK(play.MayStart(50, 5));
}

// Guards against small tasks that fill a share which was meant for one large task.
TEST_CASE("a share beyond the limit is used by one task only") {
  SharesPlay play;
  play.Begin(0);
  play.Load(0, 130, 130);
  play.Call();
  play.Answer(130);
  CHECK(play.MayStart(0, 130));
  CHECK(play.MayStart(90, 10));
  CHECK_FALSE(play.MayStart(95, 10));
}

}  // namespace endivewood::testing
