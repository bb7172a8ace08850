/// @file
/// End-to-end tests of a deployment of separate processes.
#include "process_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 21000;

bool EveryDumpContains(const Deployment& deployment, const std::string& text) {
  for (int dc = 1; dc <= deployment.options().data_centres; ++dc) {
    for (int entry = 1; entry <= deployment.options().entries_per_data_centre; ++entry) {
      const HttpOutcome dump = Get(deployment.Control(dc, entry), "/dump");
      if (!dump.reply || dump.reply->body.find(text) == std::string::npos) return false;
    }
  }
  return true;
}

// Guards against a configuration that reaches only some entries, and against replies that are lost,
// duplicated or sent to another caller.
TEST_CASE("a published configuration serves short and long requests in every data centre") {
  Deployment deployment({.base_port = kBasePort});
  REQUIRE(deployment.RunOperatorCommand({"publish", deployment.FleetFile()}) == 0);
  REQUIRE(deployment.RunOperatorCommand({"switch", "peak"}) == 0);
  REQUIRE(Eventually([&] { return EveryDumpContains(deployment, "\"preset\":\"peak\""); }));

  for (int dc = 1; dc <= 3; ++dc) {
    const Endpoint entry = deployment.Callers(dc, 1);
    const std::string text = "caller-" + std::to_string(dc);
    const HttpOutcome quick = Post(entry, "/v1/services/quick", "5 " + text);
    REQUIRE(quick.reply);
    CHECK(quick.reply->status == 200);
    CHECK(quick.reply->body == "done " + text);

    const HttpOutcome accepted =
        Post(entry, "/v1/services/render", "300 " + text, {{"Caller-Token", text}});
    REQUIRE(accepted.reply);
    REQUIRE(accepted.reply->status == 202);
    const std::string location = accepted.reply->Header("Location");
    const auto result = [&](const std::string& token) {
      return HttpCall(entry, {.path = location, .headers = {{"Caller-Token", token}}},
                      Milliseconds(5000));
    };
    CHECK(result("another caller").reply->status == 404);
    REQUIRE(Eventually([&] { return result(text).reply->status == 200; }));
    CHECK(result(text).reply->body == "done " + text);
  }
}

// Guards against an invalid configuration or an unknown preset that replaces the active one.
TEST_CASE("an invalid configuration changes nothing") {
  Deployment deployment({.data_centres = 1, .base_port = kBasePort + 10});
  REQUIRE(deployment.RunOperatorCommand({"publish", deployment.FleetFile()}) == 0);
  CHECK(deployment.RunOperatorCommand({"publish", "/dev/null"}) == 2);
  CHECK(deployment.RunOperatorCommand({"switch", "no-such-preset"}) == 3);
  CHECK(Eventually([&] { return EveryDumpContains(deployment, "\"config_version\":1"); }));
}

}  // namespace
}  // namespace endivewood::testing
