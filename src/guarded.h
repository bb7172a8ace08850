/// @file
/// Keeps an unexpected exception from ending the process.
#pragma once

#include <exception>
#include <utility>

#include "events.h"

namespace endivewood {

/// Runs a callback of the event loop or of one of its libraries, whose C functions an exception
/// must not cross, and logs what it throws.
/// @param where names the callback in the log.
/// @returns whether the callback returned normally.
template <typename Function>
bool RunGuarded(const char* where, Function&& function) noexcept {
  try {
    std::forward<Function>(function)();
    return true;
  } catch (const std::exception& error) {
    LogEvent(Event::kCallbackFailed, {{"where", where}, {"detail", error.what()}});
  } catch (...) {
    LogEvent(Event::kCallbackFailed, {{"where", where}, {"detail", "not a standard exception"}});
  }
  return false;
}

}  // namespace endivewood
