/// @file
/// Names of the store's status values.
#include "store_calls.h"

namespace endivewood {

std::string StoreCallName(const StoreCall& call) {
  struct Namer {
    std::string operator()(const AppendKeyed& each) const {
      return "append " + each.partition.topic;
    }
    std::string operator()(const ClaimEpoch& each) const { return "claim " + each.partition.topic; }
    std::string operator()(const ReadNewest& each) const {
      return "newest " + each.partition.topic;
    }
    std::string operator()(const ReadKeyed& each) const { return "read " + each.partition.topic; }
    std::string operator()(const JoinGroup&) const { return "join"; }
    std::string operator()(const LeaveGroup&) const { return "leave"; }
    std::string operator()(const ListOwners&) const { return "owners"; }
  };
  return std::visit(Namer{}, call);
}

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
