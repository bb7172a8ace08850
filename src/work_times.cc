/// @file
/// Event fields of the parts of an instance's work.
#include "work_times.h"

#include <utility>

namespace endivewood {

std::vector<EventField> WorkTimes::TakeFields() {
  static constexpr std::array<const char*, kWorkParts> kFieldNames = {
      "configuration_ms",    "registry_ms", "scheduling_ms",
      "upstream_replies_ms", "planning_ms", "calls_ms"};
  const auto spent = std::exchange(m_spent, {});
  std::vector<EventField> fields;
  for (std::size_t part = 0; part < kWorkParts; ++part) {
    fields.emplace_back(kFieldNames[part], spent[part]);
  }
  return fields;
}

}  // namespace endivewood
