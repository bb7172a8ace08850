/// @file
/// Handing out of the accounts' limits to partitions.
#include "account_ledger.h"

#include <algorithm>

#include "codec.h"
#include "config_accounts.h"
#include "events.h"

namespace endivewood {

/// The share of one account in a stored record.
struct StoredShare {
  AccountName account;
  ResourceTotal share;
};

/// Stored record of one partition.
struct StoredShares {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<StoredShare> shares;
};

}  // namespace endivewood

// clang-format off
ENDIVEWOOD_CODEC(endivewood::ResourceTotal, v.cpu_millicores, v.memory_mb, v.gpus)
ENDIVEWOOD_CODEC(endivewood::StoredShare, v.account, v.share)
ENDIVEWOOD_CODEC(endivewood::StoredShares, v.epoch, v.sequence, v.shares)
// clang-format on

namespace endivewood {
namespace {

/// Key prefix of the records; the partition's number follows.
constexpr char kShareKeyPrefix[] = "w/share/";

}  // namespace

AccountLedger::AccountLedger(const std::map<std::string, std::string>& records) {
  for (const auto& [key, value] : records) {
    if (key.starts_with(kShareKeyPrefix)) Restore(key, value);
  }
}

void AccountLedger::Restore(const std::string& key, const std::string& value) {
  const std::string number = key.substr(sizeof(kShareKeyPrefix) - 1);
  const auto stored = Unpack<StoredShares>(value);
  const bool numeric = !number.empty() && number.size() < 9 &&
                       std::all_of(number.begin(), number.end(),
                                   [](char digit) { return digit >= '0' && digit <= '9'; });
  if (!stored || !numeric) {
    LogEvent(Event::kMalformedRecord, {{"key", key}});
    return;
  }
  Partition& partition = m_partitions[std::stoi(number)];
  partition.epoch = stored->epoch;
  partition.sequence = stored->sequence;
  for (const StoredShare& each : stored->shares) partition.shares[each.account] = each.share;
}

void AccountLedger::SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts) {
  m_limits.clear();
  if (!accounts) return;
  for (const ClientAccount& account : *accounts) {
    if (HasLimit(account.limit)) m_limits[account.name] = account.limit;
  }
}

std::optional<AccountLedger::Answer> AccountLedger::Handle(const ShareCall& call,
                                                           Milliseconds now) {
  Partition& partition = m_partitions[call.partition];
  const bool outdated = call.epoch < partition.epoch ||
                        (call.epoch == partition.epoch && call.sequence <= partition.sequence);
  if (outdated) return std::nullopt;
  if (call.epoch > partition.epoch) partition.wants.clear();
  partition.epoch = call.epoch;
  partition.sequence = call.sequence;
  Answer answer{.reply = {.sequence = call.sequence, .shares = {}}};
  for (const ShareRequest& request : call.requests) {
    GrantedShare granted = Grant(&partition, request, now);
    const ResourceTotal known = request.keep.value_or(ResourceTotal{});
    if (!IsWithin(granted.share, known)) answer.after_store = true;
    answer.reply.shares.push_back(std::move(granted));
  }
  partition.changed = partition.changed || answer.after_store;
  return answer;
}

void AccountLedger::Report(Partition* partition, const GrantedShare& granted,
                           const ResourceTotal& before, Milliseconds now) {
  const Milliseconds interval(config::kLimitReportMs);
  const auto [reported, first] = partition->reported.try_emplace(granted.account, now);
  if (!first && now - reported->second < interval) return;
  reported->second = now;
  LogEvent(Event::kShareGranted, {{"account", granted.account},
                                  {"epoch", partition->epoch},
                                  {"sequence", partition->sequence},
                                  {"share_millicores", granted.share.cpu_millicores},
                                  {"was_millicores", before.cpu_millicores},
                                  {"share_mb", granted.share.memory_mb},
                                  {"contended", granted.contended},
                                  {"over", granted.over}});
}

ResourceTotal AccountLedger::LimitFor(const ShareRequest& request) const {
  const auto limit = m_limits.find(request.account);
  return limit == m_limits.end() ? request.limit : LowerLimit(limit->second, request.limit);
}

GrantedShare AccountLedger::Grant(Partition* partition, const ShareRequest& request,
                                  Milliseconds now) {
  const auto found = partition->shares.find(request.account);
  const ResourceTotal before = found == partition->shares.end() ? ResourceTotal{} : found->second;
  // What runs there counts even if no share was handed out for it: the limit may be new.
  const ResourceTotal base = MaxOf(request.keep.value_or(before), request.running);
  partition->shares[request.account] = base;
  Want& want = partition->wants[request.account];
  want = {.amount = MaxOf(request.want, base), .unmet = false, .at = now};
  GrantedShare granted{.account = request.account};
  const ResourceTotal limit = LimitFor(request);
  granted.contended = IsContended(request.account, *partition, now);
  granted.fair = FairShare(request.account, *partition, limit, now);
  const ResourceTotal target =
      LimitedPart(granted.contended ? MinOf(request.want, granted.fair) : request.want, limit);
  const ResourceTotal others = HandedOut(request.account) - base;
  const ResourceTotal share = Raise(request, limit, base, others, target);
  const ResourceTotal next = LimitedPart(request.next, limit);
  want.unmet = !IsWithin(next, share);
  // A share beyond the limit for one task that is larger than it isn't too much.
  const bool for_large_task = next != ResourceTotal{} && !IsWithin(next, limit) && !want.unmet;
  granted.over = !for_large_task && !IsWithin(LimitedPart(others + share, limit), limit);
  granted.share = share;
  if (share != before) {
    partition->changed = true;
    Report(partition, granted, before, now);
  }
  if (share == ResourceTotal{}) {
    partition->shares.erase(request.account);
  } else {
    partition->shares[request.account] = share;
  }
  return granted;
}

/// @param base share before parts are added.
/// @param others shares of the other partitions.
/// @param target share that the partition should have if enough is free.
ResourceTotal AccountLedger::Raise(const ShareRequest& request, const ResourceTotal& limit,
                                   const ResourceTotal& base, const ResourceTotal& others,
                                   const ResourceTotal& target) {
  const ResourceTotal next = LimitedPart(request.next, limit);
  if (!IsWithin(next, limit)) {
    // The platform permits one task beyond the limit, so a task larger than it may run alone.
    const bool alone = LimitedPart(others, limit) == ResourceTotal{} &&
                       LimitedPart(request.used, limit) == ResourceTotal{} &&
                       LimitedPart(request.running, limit) == ResourceTotal{};
    const bool one_task_more = IsWithin(next - LimitedPart(request.task, limit), limit);
    return alone && one_task_more ? MaxOf(base, next) : base;
  }
  const ResourceTotal available = MaxOf(base, limit - others);
  ResourceTotal share = MaxOf(base, MinOf(target, available));
  // A part with which the next task can't start would help nobody.
  if (!IsWithin(next, share)) share = IsWithin(next, available) ? MaxOf(share, next) : base;
  return share;
}

bool AccountLedger::IsContended(const AccountName& account, const Partition& partition,
                                Milliseconds now) const {
  return std::any_of(m_partitions.begin(), m_partitions.end(), [&](const auto& each) {
    if (&each.second == &partition) return false;
    const auto want = each.second.wants.find(account);
    return want != each.second.wants.end() && want->second.unmet &&
           now - want->second.at < Milliseconds(config::kShareWantLifetimeMs);
  });
}

/// Divides the limit so that no partition gets more than it wants, and none that gets less than it
/// wants gets less than another.
ResourceTotal AccountLedger::FairShare(const AccountName& account, const Partition& partition,
                                       const ResourceTotal& limit, Milliseconds now) const {
  std::vector<ResourceTotal> wants;
  for (const auto& [number, each] : m_partitions) {
    const auto want = each.wants.find(account);
    const auto share = each.shares.find(account);
    const bool fresh = want != each.wants.end() &&
                       now - want->second.at < Milliseconds(config::kShareWantLifetimeMs);
    if (fresh) {
      wants.push_back(want->second.amount);
    } else if (share != each.shares.end()) {
      wants.push_back(share->second);
    }
  }
  const ResourceTotal own = partition.wants.at(account).amount;
  ResourceTotal fair;
  ForEachResource([&](auto resource) {
    std::sort(wants.begin(), wants.end(), [&](const ResourceTotal& a, const ResourceTotal& b) {
      return a.*resource < b.*resource;
    });
    std::int64_t left = limit.*resource;
    std::int64_t level = left;
    auto count = static_cast<std::int64_t>(wants.size());
    for (const ResourceTotal& want : wants) {
      level = left / count--;
      left -= std::min(want.*resource, level);
    }
    fair.*resource = std::min(own.*resource, level);
  });
  return fair;
}

std::vector<KeyedRecord> AccountLedger::TakeRecords() {
  std::vector<KeyedRecord> records;
  for (auto& [number, partition] : m_partitions) {
    if (!partition.changed) continue;
    partition.changed = false;
    StoredShares stored{.epoch = partition.epoch, .sequence = partition.sequence, .shares = {}};
    for (const auto& [account, share] : partition.shares) {
      stored.shares.push_back({.account = account, .share = share});
    }
    records.push_back({.key = kShareKeyPrefix + std::to_string(number), .value = Pack(stored)});
  }
  return records;
}

std::map<AccountName, ResourceTotal> AccountLedger::SharesOf(int partition) const {
  const auto found = m_partitions.find(partition);
  return found == m_partitions.end() ? std::map<AccountName, ResourceTotal>{}
                                     : found->second.shares;
}

ResourceTotal AccountLedger::HandedOut(const AccountName& account) const {
  ResourceTotal sum;
  for (const auto& [number, partition] : m_partitions) {
    const auto share = partition.shares.find(account);
    if (share != partition.shares.end()) sum += share->second;
  }
  return sum;
}

std::vector<int> AccountLedger::partitions() const {
  std::vector<int> numbers;
  for (const auto& [number, partition] : m_partitions) numbers.push_back(number);
  return numbers;
}

}  // namespace endivewood
