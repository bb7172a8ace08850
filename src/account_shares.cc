/// @file
/// Shares of one partition's holder.
#include "account_shares.h"

#include <algorithm>
#include <utility>

#include "config_accounts.h"
#include "events.h"

namespace endivewood {
namespace {

ResourceTotal WithHeadroom(const ResourceTotal& need, std::int64_t percent) {
  ResourceTotal more = need;
  ForEachResource([&](auto resource) { more.*resource += (need.*resource * percent + 99) / 100; });
  return more;
}

/// Returning less than this part of a share isn't worth a record in the store.
constexpr std::int64_t kMinReturnedDivisor = 8;

bool IsWorthReturning(const ResourceTotal& share, const ResourceTotal& keep) {
  bool worth = false;
  ForEachResource([&](auto resource) {
    const std::int64_t returned = share.*resource - keep.*resource;
    worth = worth || (returned > 0 && returned >= share.*resource / kMinReturnedDivisor);
  });
  return worth;
}

}  // namespace

void AccountShares::SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts,
                                const std::map<AccountName, ResourceTotal>& used) {
  std::map<AccountName, State> former = std::exchange(m_accounts, {});
  if (!accounts) return;
  for (const ClientAccount& account : *accounts) {
    if (!HasLimit(account.limit)) continue;
    State state;
    if (const auto known = former.find(account.name); known != former.end()) state = known->second;
    const auto use = used.find(account.name);
    const ResourceTotal in_use = use == used.end() ? ResourceTotal{} : use->second;
    const ResourceTotal before = state.share;
    ForEachResource([&](auto resource) {
      const std::int64_t limit = account.limit.*resource;
      const bool was_limited = state.limit.*resource > 0;
      const bool fell = limit > 0 && was_limited && limit < state.limit.*resource;
      if (limit == 0) state.share.*resource = 0;
      if (fell) state.share.*resource = std::min(state.share.*resource, in_use.*resource);
    });
    // A limit that is new counts as lowered.
    const bool fell = LowerLimit(account.limit, state.limit) != state.limit;
    // An answer to a call that was sent before doesn't count.
    state.lowered = state.lowered || fell;
    state.frozen = state.frozen || fell;
    if (state.share != before) {
      LogEvent(Event::kLimitLowered, {{"account", account.name},
                                      {"partition", m_options.partition},
                                      {"limit_millicores", account.limit.cpu_millicores},
                                      {"was_millicores", state.limit.cpu_millicores},
                                      {"share_millicores", state.share.cpu_millicores},
                                      {"used_millicores", in_use.cpu_millicores}});
    }
    state.limit = account.limit;
    m_accounts.emplace(account.name, state);
  }
  ScheduleCall();
}

const ResourceTotal* AccountShares::LimitOf(const AccountName& account) const {
  const auto found = m_accounts.find(account);
  return found == m_accounts.end() ? nullptr : &found->second.limit;
}

bool AccountShares::MayStart(const AccountName& account, const ResourceTotal& used,
                             const ResourceTotal& needed) const {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) return true;
  const State& state = found->second;
  if (!state.known || state.frozen) return false;
  const bool alone = LimitedPart(used, state.limit) == ResourceTotal{};
  bool permitted = true;
  ForEachResource([&](auto resource) {
    if (state.limit.*resource == 0 || needed.*resource <= 0) return;
    std::int64_t bound = state.share.*resource;
    // A share beyond the limit, or beyond the fair part, is meant for one task that needs it.
    if (!alone) bound = std::min(bound, state.limit.*resource);
    // What ends beyond the fair part isn't replaced while others wait.
    if (!alone && state.contended) bound = std::min(bound, state.fair.*resource);
    permitted = permitted && used.*resource + needed.*resource <= bound;
  });
  return permitted;
}

ResourceTotal AccountShares::NeedOf(const State& state) {
  return LimitedPart(state.load.used + state.load.waiting, state.limit);
}

bool AccountShares::IsBlocked(const State& state) { return state.load.next != ResourceTotal{}; }

ResourceTotal AccountShares::KeepOf(const State& state) {
  const ResourceTotal used = LimitedPart(state.load.used, state.limit);
  if (state.frozen) return MinOf(state.share, used);
  if (state.contended) {
    if (!IsBlocked(state)) return MinOf(state.share, used);
    const ResourceTotal fair = MaxOf(used, MinOf(state.share, state.fair));
    const ResourceTotal next = LimitedPart(state.load.used + state.load.next, state.limit);
    return MinOf(state.share, IsWithin(next, fair) ? fair : used);
  }
  const ResourceTotal recent = MaxOf(NeedOf(state), MaxOf(state.peaks[0], state.peaks[1]));
  return MinOf(state.share, MaxOf(used, WithHeadroom(recent, config::kShareHeadroomPercent)));
}

ResourceTotal AccountShares::WantOf(const State& state) {
  const ResourceTotal need = NeedOf(state);
  if (state.contended) return MinOf(need, state.limit);
  const ResourceTotal recent = MaxOf(need, MaxOf(state.peaks[0], state.peaks[1]));
  // Half of the headroom suffices while nothing waits: each raise costs a record in the store.
  const ResourceTotal enough = WithHeadroom(recent, config::kShareHeadroomPercent / 2);
  if (!IsBlocked(state) && IsWithin(enough, state.share)) return MinOf(state.share, state.limit);
  return MinOf(WithHeadroom(recent, config::kShareHeadroomPercent), state.limit);
}

void AccountShares::Update(const std::map<AccountName, AccountLoad>& loads, Milliseconds now) {
  const bool rotate = now - m_peaks_since >= Milliseconds(config::kShareIdleMs / 2);
  if (rotate) m_peaks_since = now;
  for (auto& [account, state] : m_accounts) {
    const auto load = loads.find(account);
    state.load = load == loads.end() ? AccountLoad{} : load->second;
    if (rotate) state.peaks[1] = std::exchange(state.peaks[0], ResourceTotal{});
    if (state.known) state.peaks[0] = MaxOf(state.peaks[0], NeedOf(state));
  }
  ScheduleCall();
}

Milliseconds AccountShares::IntervalOf(const State& state) const {
  const Milliseconds shortest(config::kShareCallSpacingMs);
  if (!state.known || state.lowered) return shortest;
  if (state.frozen) return Milliseconds(config::kShareRetryMs);
  if (IsBlocked(state)) return m_raised ? shortest : Milliseconds(config::kShareRetryMs);
  const ResourceTotal keep = KeepOf(state);
  if (m_failures == 0 && keep != state.share &&
      (state.contended || IsWorthReturning(state.share, keep))) {
    return shortest;
  }
  const bool unused = state.share != LimitedPart(state.load.used, state.limit);
  if (unused) return Milliseconds(config::kUnusedShareRefreshMs);
  if (state.share != ResourceTotal{} || state.reported != ResourceTotal{}) {
    return Milliseconds(config::kShareRefreshMs);
  }
  return Milliseconds::max();
}

void AccountShares::ScheduleCall() {
  Milliseconds interval = Milliseconds::max();
  for (const auto& [account, state] : m_accounts) {
    interval = std::min(interval, IntervalOf(state));
  }
  if (interval == Milliseconds::max()) {
    m_due = interval;
    return;
  }
  if (m_failures > 0) {
    const int doublings = std::min(m_failures, config::kMaxShareRetryDoublings + 1) - 1;
    interval = std::max(interval, Milliseconds(config::kShareRetryMs << doublings));
  }
  m_due = m_sent_at + interval;
}

Milliseconds AccountShares::NextDue() const { return m_in_flight ? Milliseconds::max() : m_due; }

std::optional<ShareCall> AccountShares::TakeCall(Milliseconds now) {
  if (now < NextDue()) return std::nullopt;
  ShareCall call{.service = {},
                 .partition = m_options.partition,
                 .epoch = m_options.epoch,
                 .sequence = ++m_sequence,
                 .requests = {}};
  for (auto& [account, state] : m_accounts) {
    ShareRequest request{.account = account, .keep = std::nullopt, .limit = state.limit};
    request.running = LimitedPart(state.load.running, state.limit);
    request.used = LimitedPart(state.load.used, state.limit);
    // What earlier holders may have started is bounded only by the share in the first answer.
    if (state.known) request.want = WantOf(state);
    if (state.known && IsBlocked(state)) {
      request.next = LimitedPart(state.load.used + state.load.next, state.limit);
      request.task = LimitedPart(state.load.task, state.limit);
    }
    if (state.known) {
      const ResourceTotal keep = KeepOf(state);
      // A part that is given back by a lost call helps nobody and can't be had again.
      const bool heard =
          m_failures == 0 && (state.contended || IsWorthReturning(state.share, keep));
      if (heard || state.frozen) state.share = keep;
      request.keep = state.share;
    }
    state.lowered = false;
    const bool nothing = state.known && state.share == ResourceTotal{} &&
                         state.reported == ResourceTotal{} && request.want == ResourceTotal{};
    if (!nothing) call.requests.push_back(std::move(request));
  }
  m_in_flight = true;
  m_sent_at = now;
  return call;
}

bool AccountShares::OnReply(const ShareReply& reply, Milliseconds now) {
  // Parts may have been returned since an older call was sent.
  if (!m_in_flight || reply.sequence != m_sequence) return false;
  m_in_flight = false;
  m_failures = 0;
  m_raised = false;
  for (const GrantedShare& granted : reply.shares) {
    const auto found = m_accounts.find(granted.account);
    if (found == m_accounts.end()) continue;
    State& state = found->second;
    const ResourceTotal share = LimitedPart(granted.share, state.limit);
    if (!state.known) state.first_share = share;
    state.known = true;
    state.reported = share;
    state.contended = granted.contended;
    state.fair = LimitedPart(granted.fair, state.limit);
    if (state.lowered) continue;
    state.frozen = granted.over;
    m_raised = m_raised || !IsWithin(share, state.share);
    state.share = share;
  }
  m_sent_at = std::max(m_sent_at, now - Milliseconds(config::kShareCallSpacingMs));
  ScheduleCall();
  return m_raised;
}

void AccountShares::OnFailed(std::uint64_t sequence, Milliseconds now) {
  if (!m_in_flight || sequence != m_sequence) return;
  m_in_flight = false;
  ++m_failures;
  m_raised = false;
  m_sent_at = now;
  ScheduleCall();
}

std::optional<ResourceTotal> AccountShares::FirstShareOf(const AccountName& account) const {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end() || !found->second.known) return std::nullopt;
  return found->second.first_share;
}

}  // namespace endivewood
