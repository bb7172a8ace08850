/// @file
/// Load peaks beyond the room of a service: what callers get under both overload policies.
#include <catch2/catch.hpp>
#include <cstdio>

#include "config_overload.h"
#include "overload_play.h"

namespace endivewood::testing {
namespace {

constexpr auto kAll = [](const PlayedJob& /*job*/) { return true; };
constexpr auto kOwed = [](const PlayedJob& job) { return job.owed; };

struct PlayResult {
  double all = 0;
  double owed = 0;
  double worth = 0;
  double weighted_worth = 0;
  double worst_accounts = 0;
  double served = 0;  ///< While the result was useful; also of the sizes.
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
                    .served = play.ServedOfSizes(0, 1),
                    .largest = play.ServedOfSizes(0.9, 1),
                    .large = play.ServedOfSizes(0.7, 0.9),
                    .jobs = static_cast<int>(play.jobs.size())};
  for (const PlayedJob& job : play.jobs) result.accepted += job.accepted ? 1 : 0;
  std::printf(
      "%-11s load %.1f rates %.0f seed %u estimates %.1f: jobs %4d accepted %4d | on time %.3f "
      "owed %.3f worst accounts %.3f | served %.3f largest tenth %.3f next fifth %.3f | worth %.3f "
      "weighted "
      "%.3f\n",
      options.policy == OverloadChoice::kQueueBound ? "queue-bound" : "caller-cost", options.load,
      options.rate_factor, options.seed, options.estimate_error, result.jobs, result.accepted,
      result.all, result.owed, result.worst_accounts, result.served, result.largest, result.large,
      result.worth, result.weighted_worth);
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
        // By the weights that the policy states. Two jobs are noise: tasks end in another order.
        CHECK(by_cost.weighted_worth >= simple.weighted_worth - 2.0 / by_cost.jobs);
        CHECK(by_cost.largest >= 0.5 * by_cost.served);
        CHECK(by_cost.large >= 0.5 * by_cost.served);
      }
    }
  }
}

// Guards against a policy that serves callers less where rates are too generous to mark surplus.
TEST_CASE("callers get at least as much while all accounts are within their rates") {
  for (const double load : {2.0, 5.0}) {
    for (const unsigned seed : {1U, 2U}) {
      PlayOptions options{.load = load, .seed = seed, .rate_factor = 2 * load};
      options.policy = OverloadChoice::kQueueBound;
      const PlayResult simple = Play(options);
      options.policy = OverloadChoice::kCallerCost;
      const PlayResult by_cost = Play(options);
      CAPTURE(load, seed);
      CHECK(by_cost.weighted_worth >= simple.weighted_worth - 2.0 / by_cost.jobs);
      CHECK(by_cost.largest >= 0.5 * by_cost.served);
      CHECK(by_cost.large >= 0.5 * by_cost.served);
    }
  }
}

/// Jobs of the other accounts on time while one account sends several times its usual.
struct OthersOnTime {
  int without = 0;  ///< While that account sends its usual.
  int by_cost = 0;
  int queue_bound = 0;
};

OthersOnTime PlayHotAccount(double rate_factor, double hot_factor, unsigned seed) {
  constexpr int kHot = 0;
  const auto others = [](const PlayedJob& job) { return job.account != kHot && job.owed; };
  const auto hot_account = [](const PlayedJob& job) { return job.account == kHot; };
  const auto play = [&](OverloadChoice policy, double factor) {
    OverloadPlay played({.policy = policy,
                         .load = 0.9,
                         .seed = seed,
                         .rate_factor = rate_factor,
                         .hot_account = kHot,
                         .hot_factor = factor});
    played.Run();
    const int on_time = played.OnTime(others);
    std::printf(
        "%-11s rates %.0f seed %u hot account at %.0f times: others on time %d, hot account %.3f, "
        "all %.3f\n",
        policy == OverloadChoice::kQueueBound ? "queue-bound" : "caller-cost", rate_factor, seed,
        factor, on_time, played.ShareOnTime(hot_account), played.ShareOnTime(kAll));
    return on_time;
  };
  return {.without = play(OverloadChoice::kCallerCost, 1),
          .by_cost = play(OverloadChoice::kCallerCost, hot_factor),
          .queue_bound = play(OverloadChoice::kQueueBound, hot_factor)};
}

// Guards against one account that costs the others what they would have got without it.
TEST_CASE("an account at several times its usual costs the others nothing") {
  for (const double factor : {4.0, 7.0}) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      const OthersOnTime others = PlayHotAccount(1, factor, seed);
      CAPTURE(factor, seed);
      // Two jobs are noise.
      CHECK(others.by_cost >= others.without - 2);
    }
  }
}

// Guards against rates that are too generous to tell who sends too much: shares decide then. They
// are measured while the account sends, so the others lose some jobs, but no more than without
// shares.
TEST_CASE("an account at several times its usual within its rate gives way to the others") {
  for (const double factor : {4.0, 7.0}) {
    for (const unsigned seed : {1U, 2U}) {
      const OthersOnTime others = PlayHotAccount(10, factor, seed);
      CAPTURE(factor, seed);
      CHECK(others.by_cost >= others.queue_bound);
    }
  }
}

}  // namespace
}  // namespace endivewood::testing
