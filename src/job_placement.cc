/// @file
/// Scheduling order of waiting steps, and choice of an upstream for a task.
#include "job_placement.h"

#include <algorithm>
#include <tuple>

#include "config.h"
#include "config_overload.h"

namespace endivewood {
namespace {

Capacity Times(const Capacity& capacity, int count) {
  return {.cpu_millicores = capacity.cpu_millicores * count,
          .memory_mb = capacity.memory_mb * count,
          .gpus = capacity.gpus * count};
}

/// Placement cost by decreasing weight; the smallest tuple wins.
using PlacementCost = std::tuple<int, Standing, int, int, std::int64_t>;

PlacementCost CostOf(const UpstreamCandidate& candidate, const WaitingStep& waiting,
                     const TaskState& task) {
  const StepSpec& step = waiting.spec();
  const UpstreamEntry& entry = candidate.session->entry;
  const bool failed_here =
      std::find(task.avoided.begin(), task.avoided.end(), entry.id) != task.avoided.end();
  const bool interferes = (step.best_effort && candidate.hosts_latency_sensitive) ||
                          (step.target_latency > Milliseconds{0} && candidate.hosts_best_effort);
  const bool data_in_other_rack = step.data_rack.valid() && step.data_rack != entry.rack;
  const std::int64_t free = candidate.free.cpu_millicores;
  return {failed_here ? 1 : 0, candidate.standing, data_in_other_rack ? 1 : 0, interferes ? 1 : 0,
          step.lasting ? -free : free};
}

/// @returns whether an upstream can run tasks, released or not.
bool CanRunTasks(const UpstreamSession& session, Milliseconds now) {
  if (!session.listed || !session.fenced || !session.registered) return false;
  if (!session.IsDescribed()) return false;
  if (session.entry.draining || session.unanswered > 0) return false;
  if (session.avoid_until > now || session.full_until > now) return false;
  return session.clock.known() && session.lease_until > session.clock.LowerBoundAt(now);
}

UpstreamCandidate CandidateOf(UpstreamSession* session, bool trial_only) {
  return {.session = session,
          .free = session->Free(),
          .hosts_latency_sensitive = session->hosted.any_latency_sensitive(),
          .hosts_best_effort = session->hosted.any_best_effort(),
          .trial_only = trial_only};
}

/// Sets the candidates' standing. If all upstreams of a service fail or are slow, none is
/// preferred.
void RankStandings(std::vector<UpstreamCandidate>* candidates, Milliseconds now) {
  const auto is_clean = [&](const UpstreamCandidate& each) {
    return each.session->history.IsClean(now);
  };
  if (std::all_of(candidates->begin(), candidates->end(), is_clean)) return;
  std::map<ServiceName, std::vector<const UpstreamHistory*>> histories;
  for (const UpstreamCandidate& candidate : *candidates) {
    histories[candidate.session->entry.service].push_back(&candidate.session->history);
  }
  std::map<ServiceName, PoolNorm> norms;
  for (const auto& [service, of_service] : histories) norms[service] = NormOf(of_service, now);
  for (UpstreamCandidate& candidate : *candidates) {
    const PoolNorm& norm = norms[candidate.session->entry.service];
    candidate.standing = candidate.session->history.StandingAt(norm, now);
  }
}

/// Estimates when a short run ends: by its progress if that is known, otherwise by its estimate.
/// The longer a run has exceeded its estimate, the later its end.
Milliseconds ExpectedEnd(const HostedRun& run, Milliseconds now) {
  const Milliseconds elapsed = now - run.ordered_at;
  if (run.percent > 0) return now + elapsed * std::max(0, 100 - run.percent) / run.percent;
  return now + std::max(run.estimate - elapsed, elapsed / 2);
}

/// @returns whether the upstream may run a task of the step beside those that are there, whatever
/// its free capacity.
bool MeetsRequirements(const UpstreamCandidate& candidate, const WaitingStep& waiting,
                       const TaskKey& key) {
  const StepSpec& step = waiting.spec();
  const UpstreamSession& session = *candidate.session;
  if (session.entry.service != waiting.job->spec().service) return false;
  if (!step.required_label.empty() && !HasLabel(session.entry, step.required_label)) return false;
  if (step.max_per_upstream == 0) return true;
  const StepKey step_key = StepKeyOf(key);
  const int others = session.hosted.step_counts().Of(step_key) +
                     session.held.step_counts().Of(step_key) - (session.held.contains(key) ? 1 : 0);
  return others < step.max_per_upstream;
}

/// @returns the free capacity including the room that is held for the task.
Capacity FreeFor(const UpstreamCandidate& candidate, const WaitingStep& waiting,
                 const TaskKey& key) {
  // Only lasting tasks have room held.
  if (!waiting.spec().lasting) return candidate.free;
  const HeldRoom& held = candidate.session->held;
  const auto room = held.find(key);
  return room == held.end() ? candidate.free : candidate.free + room->second;
}

std::vector<FreedRoom> FindFreedRoom(const UpstreamSession& session, Milliseconds now) {
  std::vector<FreedRoom> ends;
  for (const auto& [task, run] : session.hosted) {
    if (run.lasting && run.state != HostedState::kStopping) continue;
    ends.push_back({.at = run.state == HostedState::kStopping ? now : ExpectedEnd(run, now),
                    .freed = run.reserved});
  }
  std::sort(ends.begin(), ends.end(),
            [](const FreedRoom& a, const FreedRoom& b) { return a.at < b.at; });
  for (std::size_t index = 1; index < ends.size(); ++index) {
    ends[index].freed = ends[index].freed + ends[index - 1].freed;
  }
  return ends;
}

}  // namespace

UpstreamCandidate* CandidatePool::Find(const UpstreamId& upstream) {
  const auto found = std::lower_bound(candidates.begin(), candidates.end(), upstream,
                                      [](const UpstreamCandidate& each, const UpstreamId& id) {
                                        return each.session->entry.id < id;
                                      });
  const bool present = found != candidates.end() && found->session->entry.id == upstream;
  return present ? &*found : nullptr;
}

bool CandidatePool::HasLabel(const std::string& label) {
  if (label.empty()) return true;
  if (!m_labels) {
    m_labels.emplace();
    for (const UpstreamCandidate& candidate : candidates) {
      const std::vector<std::string>& labels = candidate.session->entry.labels;
      m_labels->insert(labels.begin(), labels.end());
    }
  }
  return m_labels->count(label) > 0;
}

bool CandidatePool::MayHold(const Capacity& needed) const {
  return std::none_of(m_unmet.begin(), m_unmet.end(),
                      [&](const Capacity& unmet) { return needed.Holds(unmet); });
}

void CandidatePool::NoteSearched(const Capacity& needed) {
  const bool held =
      std::any_of(candidates.begin(), candidates.end(),
                  [&](const UpstreamCandidate& each) { return each.free.Holds(needed); });
  // Otherwise a label or a limit of the step excluded the candidates, which others may pass.
  if (held) return;
  std::erase_if(m_unmet, [&](const Capacity& unmet) { return unmet.Holds(needed); });
  m_unmet.push_back(needed);
}

bool HasLabel(const UpstreamEntry& entry, const std::string& label) {
  return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
}

JobRank RankOf(const Job& job, Milliseconds latest_start, bool on_time, std::int64_t work_left,
               const AccountStanding& standing) {
  JobRank rank{.late = !on_time, .priority = job.policy().priority, .standing = standing};
  if (!on_time) {
    rank.order = work_left;
    rank.late_order = latest_start.count();
    return rank;
  }
  // When a peak exceeds the capacity, small jobs bring more results per core-second.
  const std::int64_t delay =
      job.preferred ? -config::kPreferredRankMs : work_left / config::kWorkPerRankMs;
  rank.order = latest_start.count() + delay;
  return rank;
}

bool ComesBefore(const WaitingStep& a, const WaitingStep& b) {
  const bool a_lasting = a.spec().lasting;
  const bool b_lasting = b.spec().lasting;
  if (a_lasting != b_lasting) return a_lasting;
  return RankOf(*a.job, a.latest_start, a.on_time, a.work_left, a.standing) <
         RankOf(*b.job, b.latest_start, b.on_time, b.work_left, b.standing);
}

bool IsUsable(const UpstreamSession& session, Milliseconds now) {
  return CanRunTasks(session, now) && session.released_until <= now;
}

std::vector<UpstreamCandidate> FindBusyReleased(std::map<UpstreamId, UpstreamSession>* sessions,
                                                Milliseconds now) {
  std::vector<UpstreamCandidate> candidates;
  for (auto& [id, session] : *sessions) {
    const bool busy_released = session.released_until > now && !session.hosted.empty() &&
                               session.reported_released_until <= now;
    if (!busy_released || !CanRunTasks(session, now)) continue;
    if (session.IsSuspect()) continue;
    candidates.push_back(CandidateOf(&session, false));
  }
  return candidates;
}

std::vector<UpstreamCandidate> FindCandidates(std::map<UpstreamId, UpstreamSession>* sessions,
                                              Milliseconds now) {
  std::vector<UpstreamCandidate> candidates;
  for (auto& [id, session] : *sessions) {
    if (!IsUsable(session, now)) continue;
    const bool suspect = session.IsSuspect();
    if (suspect && session.HasUndecidedTrial()) continue;
    candidates.push_back(CandidateOf(&session, suspect));
  }
  RankStandings(&candidates, now);
  return candidates;
}

std::map<ServiceName, CandidatePool> FindPools(std::map<UpstreamId, UpstreamSession>* sessions,
                                               Milliseconds now) {
  std::map<ServiceName, CandidatePool> pools;
  for (UpstreamCandidate& candidate : FindCandidates(sessions, now)) {
    pools[candidate.session->entry.service].candidates.push_back(candidate);
  }
  return pools;
}

Capacity ReservationOf(const StepSpec& step) {
  return {.cpu_millicores = step.best_effort ? 0 : step.cpu_millicores,
          .memory_mb = step.memory_mb,
          .gpus = step.gpus};
}

ResourceTotal ChargeOf(const StepSpec& step) {
  return {.cpu_millicores = step.cpu_millicores, .memory_mb = step.memory_mb, .gpus = step.gpus};
}

bool Fits(const UpstreamCandidate& candidate, const WaitingStep& waiting, const TaskKey& key) {
  return FreeFor(candidate, waiting, key).Holds(ReservationOf(waiting.spec())) &&
         MeetsRequirements(candidate, waiting, key);
}

bool MayStartOn(const UpstreamCandidate& candidate, const WaitingStep& waiting,
                const TaskKey& key) {
  const HostedRuns& hosted = candidate.session->hosted;
  return Fits(candidate, waiting, key) && hosted.find(key) == hosted.end();
}

FitCounts CountFits(const std::vector<UpstreamCandidate>& candidates, const WaitingStep& waiting,
                    const TaskKey& key) {
  FitCounts counts;
  for (const UpstreamCandidate& candidate : candidates) {
    if (!Fits(candidate, waiting, key)) continue;
    ++counts.fit;
    if (candidate.session->AwaitsAnswers()) ++counts.awaiting_answers;
  }
  return counts;
}

int CountHeld(const Capacity& free, const Capacity& needed, int limit) {
  const auto bound = [&limit](int available, int each) {
    if (each > 0) limit = std::min(limit, std::max(0, available) / each);
  };
  bound(free.cpu_millicores, needed.cpu_millicores);
  bound(free.memory_mb, needed.memory_mb);
  bound(free.gpus, needed.gpus);
  return limit;
}

int CountFitting(const UpstreamCandidate& candidate, const WaitingStep& waiting, int limit) {
  const StepSpec& step = waiting.spec();
  const UpstreamSession& session = *candidate.session;
  const TaskKey first{.job = waiting.job->spec().id,
                      .occurrence = waiting.occurrence->number,
                      .step = waiting.step};
  if (!Fits(candidate, waiting, first)) return 0;
  if (candidate.trial_only) return std::min(1, limit);
  if (step.max_per_upstream > 0) {
    const StepKey key = StepKeyOf(first);
    const int others = session.hosted.step_counts().Of(key) + session.held.step_counts().Of(key);
    limit = std::min(limit, step.max_per_upstream - others);
  }
  return CountHeld(candidate.free, ReservationOf(step), limit);
}

UpstreamCandidate* ChooseCandidate(std::vector<UpstreamCandidate>* candidates,
                                   const WaitingStep& waiting, const TaskKey& key,
                                   StartLimit limit) {
  const TaskState& task = waiting.state().tasks[key.index];
  UpstreamCandidate* best = nullptr;
  PlacementCost best_cost;
  for (UpstreamCandidate& candidate : *candidates) {
    if (limit == StartLimit::kApplied && candidate.session->AwaitsAnswers()) continue;
    if (!Fits(candidate, waiting, key)) continue;
    const PlacementCost cost = CostOf(candidate, waiting, task);
    if (best != nullptr && cost >= best_cost) continue;
    if (!MayStartOn(candidate, waiting, key)) continue;
    best = &candidate;
    best_cost = cost;
  }
  return best;
}

std::optional<Milliseconds> RoomExpectedAt(UpstreamCandidate* candidate, const WaitingStep& waiting,
                                           const TaskKey& key, Milliseconds now) {
  if (!MeetsRequirements(*candidate, waiting, key)) return std::nullopt;
  const Capacity needed = ReservationOf(waiting.spec());
  const Capacity free = FreeFor(*candidate, waiting, key);
  if (free.Holds(needed)) return now;
  if (!candidate->freed_room) {
    candidate->freed_room =
        std::make_shared<const std::vector<FreedRoom>>(FindFreedRoom(*candidate->session, now));
  }
  const std::vector<FreedRoom>& rooms = *candidate->freed_room;
  const auto enough = std::partition_point(rooms.begin(), rooms.end(), [&](const FreedRoom& room) {
    return !(free + room.freed).Holds(needed);
  });
  return enough == rooms.end() ? std::nullopt : std::optional<Milliseconds>(enough->at);
}

std::optional<FutureRoom> ChooseForHold(std::vector<UpstreamCandidate>* candidates,
                                        const WaitingStep& waiting, const TaskKey& key,
                                        Milliseconds now) {
  std::optional<FutureRoom> best;
  for (UpstreamCandidate& candidate : *candidates) {
    if (candidate.trial_only) continue;
    const auto expected = RoomExpectedAt(&candidate, waiting, key, now);
    if (!expected || (best && *expected >= best->at)) continue;
    best = {.candidate = &candidate, .at = *expected};
  }
  return best;
}

RoomCounts CountRoom(std::map<UpstreamId, UpstreamSession>* sessions, const WaitingStep& waiting,
                     const TaskKey& key, Milliseconds now) {
  const Capacity needed = ReservationOf(waiting.spec());
  RoomCounts counts;
  for (auto& [id, session] : *sessions) {
    if (session.entry.service != waiting.job->spec().service) continue;
    if (session.entry.draining) {
      ++counts.draining;
    } else if (!session.listed || session.unanswered > 0) {
      ++counts.silent;
    } else if (session.released_until > now) {
      ++counts.released;
    } else if (session.avoid_until > now || session.full_until > now ||
               (session.IsSuspect() && session.HasUndecidedTrial())) {
      ++counts.avoided;
    } else if (!IsUsable(session, now)) {
      ++counts.starting;
    } else {
      const Capacity free = session.Free();
      counts.most_free.cpu_millicores =
          std::max(counts.most_free.cpu_millicores, free.cpu_millicores);
      counts.most_free.memory_mb = std::max(counts.most_free.memory_mb, free.memory_mb);
      counts.most_free.gpus = std::max(counts.most_free.gpus, free.gpus);
      if (Fits({.session = &session, .free = free}, waiting, key)) {
        ++counts.fits;
      } else if (needed.cpu_millicores > free.cpu_millicores) {
        ++counts.short_cpu;
      } else if (needed.memory_mb > free.memory_mb) {
        ++counts.short_memory;
      } else {
        ++counts.excluded;
      }
    }
  }
  return counts;
}

int CountFurtherUpstreams(std::vector<PackedTask> tasks, std::vector<PackingRoom> rooms,
                          const Capacity& empty) {
  std::sort(tasks.begin(), tasks.end(), [](const PackedTask& a, const PackedTask& b) {
    return a.needed.memory_mb > b.needed.memory_mb;
  });
  int further = 0;
  for (const PackedTask& task : tasks) {
    if (!empty.Holds(task.needed)) continue;
    int left = task.count;
    const auto pack_into = [&](PackingRoom* room) {
      int packed = CountHeld(room->free, task.needed, left);
      if (packed == 0) return;
      int& of_step = room->tasks[task.step];
      if (task.max_per_upstream > 0) packed = std::min(packed, task.max_per_upstream - of_step);
      if (packed <= 0) return;
      of_step += packed;
      left -= packed;
      room->free = room->free - Times(task.needed, packed);
    };
    for (PackingRoom& room : rooms) {
      if (left == 0) break;
      pack_into(&room);
    }
    for (; left > 0; ++further) {
      rooms.push_back({.free = empty, .tasks = {}});
      pack_into(&rooms.back());
    }
  }
  return further;
}

void Reserve(UpstreamCandidate* candidate, const StepSpec& step) {
  candidate->free = candidate->free - ReservationOf(step);
  candidate->hosts_latency_sensitive =
      candidate->hosts_latency_sensitive || step.target_latency > Milliseconds{0};
  candidate->hosts_best_effort = candidate->hosts_best_effort || step.best_effort;
  if (candidate->trial_only) candidate->free = {};
}

}  // namespace endivewood
