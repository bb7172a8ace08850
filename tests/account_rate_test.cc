/// @file
/// Rates and shares of client accounts.
#include "account_rate.h"

#include <catch2/catch.hpp>

#include "config_overload.h"
#include "received_work.h"

namespace endivewood::testing {
namespace {

const AccountName account("a");

/// Sends `per_second` jobs a second for `duration`. @returns how many are surplus.
int SendJobs(AccountRates* rates, int weight, int per_second, Milliseconds from,
             Milliseconds duration, const std::string& prefix) {
  int surplus = 0;
  const int jobs = static_cast<int>(per_second * duration.count() / 1000);
  for (int number = 0; number < jobs; ++number) {
    const Milliseconds now = from + Milliseconds(1000 * number / per_second);
    if (rates->IsSurplus(account, weight, JobId(prefix + std::to_string(number)), now)) ++surplus;
  }
  return surplus;
}

// Guards against taking the usual load of an account for surplus.
TEST_CASE("jobs at the account's rate aren't surplus") {
  AccountRates rates;
  CHECK(SendJobs(&rates, 5, 5, Milliseconds(0), Milliseconds(20000), "j") == 0);
}

// Guards against an account that gets more than its rate by sending several times its usual.
TEST_CASE("what an account sends beyond its rate is surplus") {
  AccountRates rates;
  const int surplus = SendJobs(&rates, 5, 30, Milliseconds(0), Milliseconds(4000), "j");
  // 120 jobs; 20 are within the rate, and 5 within the burst.
  CHECK(surplus >= 94);
  CHECK(surplus <= 96);
  CHECK(SendJobs(&rates, 5, 5, Milliseconds(4200), Milliseconds(5000), "k") == 0);
}

// Guards against an account of small weight whose every job is surplus.
TEST_CASE("an account of any weight may send one job at once") {
  AccountRates rates;
  CHECK_FALSE(rates.IsSurplus(account, 0, JobId("first"), Milliseconds(0)));
  CHECK(rates.IsSurplus(account, 0, JobId("second"), Milliseconds(1)));
  CHECK_FALSE(rates.IsSurplus(AccountName("b"), 1, JobId("third"), Milliseconds(1)));
  CHECK(rates.IsSurplus(AccountName("b"), 1, JobId("fourth"), Milliseconds(2)));
  CHECK_FALSE(rates.IsSurplus(AccountName("b"), 1, JobId("fifth"), Milliseconds(1100)));
}

// Guards against callers that lose their share by repeating a refused job, and against surplus that
// turns into work within the rate when it is sent again.
TEST_CASE("repeats of a job don't count and get the first answer") {
  AccountRates rates;
  for (int repeat = 0; repeat < 50; ++repeat) {
    CHECK_FALSE(rates.IsSurplus(account, 2, JobId("one"), Milliseconds(10 * repeat)));
  }
  CHECK_FALSE(rates.IsSurplus(account, 2, JobId("two"), Milliseconds(500)));
  CHECK_FALSE(rates.IsSurplus(account, 2, JobId("three"), Milliseconds(500)));
  CHECK(rates.IsSurplus(account, 2, JobId("four"), Milliseconds(500)));
  CHECK(rates.IsSurplus(account, 2, JobId("four"), Milliseconds(5000)));
}

// Guards against a clock that steps back and fills every bucket, or empties it for good.
TEST_CASE("a time before the last one gives no tokens") {
  AccountRates rates;
  CHECK_FALSE(rates.IsSurplus(account, 1, JobId("one"), Milliseconds(5000)));
  CHECK(rates.IsSurplus(account, 1, JobId("two"), Milliseconds(1000)));
  CHECK(rates.IsSurplus(account, 1, JobId("three"), Milliseconds(5500)));
  CHECK_FALSE(rates.IsSurplus(account, 1, JobId("four"), Milliseconds(6000)));
}

// Guards against a log line per job while an account sends around its rate.
TEST_CASE("an account's state is reported at most once a second") {
  AccountRates rates;
  int reports = 0;
  int surplus_jobs = 0;
  for (int number = 0; number < 300; ++number) {
    const Milliseconds now(10 * number);
    rates.IsSurplus(account, 50, JobId("j" + std::to_string(number)), now);
    if (const auto change = rates.TakeChange(account, now)) {
      ++reports;
      surplus_jobs += change->surplus_jobs;
    }
  }
  CHECK(reports >= 2);
  CHECK(reports <= 4);
  CHECK(surplus_jobs > 0);
}

// Guards against shares by account instead of by weight, and against a small account that counts
// as above its share because of a single job.
TEST_CASE("an account is above its share when it got more work than its weight gives it") {
  ReceivedWork usage;
  const AccountName large("large");
  const AccountName small("small");
  const std::map<AccountName, int> weights{{large, 9}, {small, 1}};
  const Milliseconds now(1000);
  const double mean_work = 10000;
  usage.Add(large, 9 * 50000, now);
  usage.Add(small, 50000, now);
  CHECK(usage.AboveFairShare(weights, mean_work, now).empty());
  usage.Add(small, 2 * mean_work, now);
  CHECK(usage.AboveFairShare(weights, mean_work, now).empty());
  usage.Add(small, 50000, now);
  CHECK(usage.AboveFairShare(weights, mean_work, now) == std::set<AccountName>{small});
  // What was received long ago doesn't count.
  CHECK(usage.AboveFairShare(weights, mean_work, now + Milliseconds(60000)).empty());
}

// Guards against an account that waits behind others while nobody else's work waits.
TEST_CASE("an account whose work waits alone isn't above its share") {
  ReceivedWork usage;
  usage.Add(account, 1e9, Milliseconds(0));
  CHECK(usage.AboveFairShare({{account, 1}}, 1000, Milliseconds(0)).empty());
}

}  // namespace
}  // namespace endivewood::testing
