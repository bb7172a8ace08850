/// @file
/// Load peaks beyond the room of a service: what callers get under both overload policies.
#include <catch2/catch.hpp>
#include <cstdio>

#include "config_overload.h"
#include "overload_play.h"

namespace endivewood::testing {
namespace {

const auto kAll = [](const PlayedJob& /*job*/) { return true; };
const auto kOwed = [](const PlayedJob& job) { return job.owed; };

struct PlayResult {
  double all = 0;
  double owed = 0;
  double worth = 0;
  double weighted_worth = 0;
  double worst_accounts = 0;
  double largest = 0;
  double large = 0;
  int accepted = 0;
  int jobs = 0;
};

PlayResult Play(const PlayOptions& options) {
  OverloadPlay play(options);
  play.Run();
  CHECK(play.simulation().violations.empty());
  PlayResult result{.all = play.ShareOnTime(kAll),
                    .owed = play.ShareOnTime(kOwed),
                    .worth = play.Worth(kAll, 1),
                    .weighted_worth = play.Worth(kAll, config::kSurplusCost),
                    .worst_accounts = options.accounts > 0 ? play.WorstAccounts() : 1,
                    .largest = play.ServedOfSizes(0.9, 1),
                    .large = play.ServedOfSizes(0.7, 0.9),
                    .jobs = static_cast<int>(play.jobs.size())};
  for (const PlayedJob& job : play.jobs) result.accepted += job.accepted ? 1 : 0;
  std::printf(
      "%-11s load %.1f rates %.0f seed %u estimates %.1f: jobs %4d accepted %4d | on time %.3f "
      "owed %.3f worst accounts %.3f largest tenth %.3f next fifth %.3f | worth %.3f weighted "
      "%.3f\n",
      options.policy == OverloadChoice::kQueueBound ? "queue-bound" : "caller-cost", options.load,
      options.rate_factor, options.seed, options.estimate_error, result.jobs, result.accepted,
      result.all, result.owed, result.worst_accounts, result.largest, result.large, result.worth,
      result.weighted_worth);
  return result;
}

// Guards against a policy that serves callers less than the simple bound does, and against large
// jobs that get no room: the platform asks for half of the share of all jobs.
TEST_CASE("callers get at least as much as with one bound for the queue") {
  for (const double load : {1.2, 2.0, 5.0}) {
    for (const unsigned seed : {1U, 2U}) {
      for (const double error : {1.0, 2.0}) {
        PlayOptions options{.load = load, .seed = seed, .estimate_error = error};
        options.policy = OverloadChoice::kQueueBound;
        const PlayResult simple = Play(options);
        options.policy = OverloadChoice::kCallerCost;
        const PlayResult by_cost = Play(options);
        CAPTURE(load, seed, error);
        // By the weights that the policy states.
        CHECK(by_cost.weighted_worth >= simple.weighted_worth);
        CHECK(by_cost.largest >= 0.5 * by_cost.all);
        CHECK(by_cost.large >= 0.5 * by_cost.all);
      }
    }
  }
}

// Guards against small accounts that get nothing because large ones fill the room, all within their
// rates.
TEST_CASE("accounts within their rates share the room by weight") {
  for (const double load : {2.0, 5.0}) {
    for (const unsigned seed : {1U, 2U}) {
      PlayOptions options{.load = load, .seed = seed, .rate_factor = 2 * load};
      options.policy = OverloadChoice::kQueueBound;
      const PlayResult simple = Play(options);
      options.policy = OverloadChoice::kCallerCost;
      const PlayResult by_cost = Play(options);
      CAPTURE(load, seed);
      CHECK(by_cost.worst_accounts >= simple.worst_accounts);
      CHECK(by_cost.weighted_worth >= simple.weighted_worth);
      CHECK(by_cost.largest >= 0.5 * by_cost.all);
      CHECK(by_cost.large >= 0.5 * by_cost.all);
    }
  }
}

// Guards against one account that costs the others what they would have got without it.
TEST_CASE("an account at several times its usual costs the others nothing") {
  constexpr int kHot = 0;
  const auto others_owed = [](const PlayedJob& job) { return job.account != kHot && job.owed; };
  for (const double factor : {4.0, 7.0}) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      int served[2] = {0, 0};
      for (const bool hot : {false, true}) {
        OverloadPlay play(
            {.load = 0.9, .seed = seed, .hot_account = kHot, .hot_factor = hot ? factor : 1.0});
        play.Run();
        served[hot ? 1 : 0] = play.OnTime(others_owed);
        std::printf("hot factor %.0f seed %u: others on time %d, hot account %.3f of %.3f\n",
                    hot ? factor : 1.0, seed, play.OnTime(others_owed),
                    play.ShareOnTime([](const PlayedJob& job) { return job.account == kHot; }),
                    play.ShareOnTime(kAll));
      }
      CAPTURE(factor, seed);
      CHECK(served[1] >= served[0] - 2);
    }
  }
}

}  // namespace
}  // namespace endivewood::testing
