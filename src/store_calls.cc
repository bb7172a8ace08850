/// @file
/// Names of the store's status values.
#include "store_calls.h"

namespace endivewood {

const char* StoreStatusName(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kNoAnswer:
      return "no-answer";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kFenced:
      return "fenced";
    case StoreStatus::kOutOfSequence:
      return "out-of-sequence";
    case StoreStatus::kExpired:
      return "expired";
    case StoreStatus::kInvalid:
      return "invalid";
  }
  return "invalid";
}

}  // namespace endivewood
