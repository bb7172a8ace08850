/// @file
/// Encoding and decoding of the JSON state dump.
#include "dump.h"

#include "chart.h"
#include "events.h"
#include "json.h"

namespace endivewood {
namespace {

JsonValue ToJson(const ClassStats& stats) {
  return JsonValue::Object{{"requests", stats.requests},
                           {"not_run", stats.not_run},
                           {"failed", stats.failed},
                           {"wait_p50_ms", stats.wait_p50_ms},
                           {"wait_p99_ms", stats.wait_p99_ms},
                           {"latency_p50_ms", stats.latency_p50_ms},
                           {"latency_p99_ms", stats.latency_p99_ms}};
}

JsonValue ToJson(const Stats& stats) {
  return JsonValue::Object{{"short_work", ToJson(stats.short_work)},
                           {"long_work", ToJson(stats.long_work)},
                           {"retries", stats.retries},
                           {"ejections", stats.ejections},
                           {"checkpoints", stats.checkpoints},
                           {"queue_depth", stats.queue_depth},
                           {"requests_in_progress", stats.requests_in_progress},
                           {"offset_behind", stats.offset_behind}};
}

JsonValue ToJson(const Caps& caps) {
  return JsonValue::Object{{"version", caps.version},
                           {"max_body_bytes", caps.max_body_bytes},
                           {"max_header_bytes", caps.max_header_bytes},
                           {"max_http_threads", caps.max_http_threads},
                           {"recent_record_ids", caps.recent_record_ids},
                           {"platform_timeout_ms", caps.platform_timeout.count()}};
}

JsonValue ToJson(const WaveView& wave) {
  return JsonValue::Object{{"name", wave.name.str()},
                           {"pool", wave.pool.str()},
                           {"state", WaveStateName(wave.state)},
                           {"pause_cause", wave.pause_cause},
                           {"sequence", wave.sequence}};
}

JsonValue ToJson(const InstanceView& instance) {
  return JsonValue::Object{{"name", instance.name.str()},
                           {"data_centre", instance.data_centre.str()},
                           {"rack", instance.rack.str()},
                           {"pool", instance.pool.str()},
                           {"state", InstanceStateName(instance.state)},
                           {"endpoint", instance.endpoint.str()},
                           {"slots", instance.slots},
                           {"version", instance.version},
                           {"assignment", instance.assignment},
                           {"maintained_in", instance.maintained_in}};
}

}  // namespace

std::string EncodeDump(const ProcessDump& dump) {
  const FleetView& view = *dump.view;
  JsonValue::Array instances;
  for (const auto& [name, instance] : view.instances) instances.push_back(ToJson(instance));
  JsonValue::Array subsystems;
  for (const DumpValue& value : dump.subsystems) {
    subsystems.push_back(JsonValue::Object{{"name", value.name}, {"value", value.value}});
  }
  return EncodeJson(JsonValue::Object{{"process", dump.process},
                                      {"data_centre", dump.data_centre.str()},
                                      {"incarnation", dump.incarnation.str()},
                                      {"connected", dump.connected},
                                      {"next_offset", view.next_offset},
                                      {"config_version", view.config_version},
                                      {"preset_version", view.preset_version},
                                      {"wave_version", view.wave_version},
                                      {"preset", view.preset.str()},
                                      {"wave", ToJson(view.wave)},
                                      {"instances", std::move(instances)},
                                      {"stats", ToJson(dump.stats)},
                                      {"caps", ToJson(GetCaps())},
                                      {"subsystems", std::move(subsystems)}});
}

std::optional<DumpSummary> DecodeDumpSummary(const std::string& json) {
  const auto value = DecodeJson(json);
  if (!value || (*value)["process"].Text().empty()) return std::nullopt;
  return DumpSummary{.process = (*value)["process"].Text(),
                     .data_centre = (*value)["data_centre"].Text(),
                     .connected = (*value)["connected"].Bool(),
                     .next_offset = (*value)["next_offset"].Number(),
                     .config_version = (*value)["config_version"].Number(),
                     .preset_version = (*value)["preset_version"].Number(),
                     .wave_version = (*value)["wave_version"].Number(),
                     .preset = (*value)["preset"].Text()};
}

HttpReply AnswerControl(const HttpRequest& request, const ControlSources& sources) {
  if (request.path == "/health") return {.status = 200, .headers = {}, .body = "ok"};
  if (request.path == "/metrics") {
    return {.status = 200,
            .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = sources.metrics.Exposition()};
  }
  if (request.path != "/dump") {
    const ResultCode code = ResultCode::kMalformedRequest;
    return {.status = HttpStatusOf(code),
            .headers = {{"Result-Code", std::to_string(static_cast<int>(code))}},
            .body = ResultCodeName(code)};
  }
  LogEvent(Event::kDumpRequested);
  const ProcessDump dump{.process = sources.settings.name,
                         .data_centre = sources.settings.data_centre,
                         .incarnation = sources.incarnation,
                         .connected = sources.follower.Connected(),
                         .view = sources.view,
                         .stats = sources.metrics.GetStats(),
                         .subsystems = sources.subsystems};
  return {
      .status = 200, .headers = {{"Content-Type", "application/json"}}, .body = EncodeDump(dump)};
}

}  // namespace endivewood
