/// @file
/// Batching of the claims of concurrent requests through one entry.
#include <future>

#include "entry_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 24300;

std::int64_t DumpNumber(const Deployment& deployment, const std::string& name) {
  const HttpOutcome dump = Get(deployment.Control(1, 1), "/dump");
  const std::string prefix = "\"name\":\"" + name + "\",\"value\":";
  const std::size_t found = dump.reply->body.find(prefix);
  REQUIRE(found != std::string::npos);
  return std::atoll(dump.reply->body.c_str() + found + prefix.size());
}

// Guards against one append per claim: a few entries would use up the several hundred appends per
// second that the log service allows.
TEST_CASE("concurrent claims share appends") {
  constexpr int kCallers = 32;
  constexpr int kRequests = 10;
  ServingDeployment deployment(
      {.data_centres = 1, .upstreams_per_service = 4, .base_port = kBasePort});
  const auto started = std::chrono::steady_clock::now();
  std::vector<std::future<int>> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [&] {
      int done = 0;
      for (int number = 0; number < kRequests; ++number) {
        if (CodeOf(Charge(deployment.Callers(1, 1), NewKey(), "0 sum")) == 0) ++done;
      }
      return done;
    }));
  }
  int done = 0;
  for (auto& caller : callers) done += caller.get();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
  const auto appends = static_cast<double>(DumpNumber(deployment, "claim_appends"));
  const auto claims = static_cast<double>(DumpNumber(deployment, "claims"));
  WARN(done << " requests in " << took.count() << " s, " << claims / appends
            << " claims per append, " << appends / took.count() << " appends/s");
  CHECK(done == kCallers * kRequests);
  CHECK(deployment.Effects().size() == static_cast<std::size_t>(done));
  // An entry may make 30 appends per second after a burst of 10.
  CHECK(appends <= 30 * took.count() + 11);
}

}  // namespace
}  // namespace endivewood::testing
