/// @file
/// JobScheduler: moves of lasting tasks, and lasting tasks that wait for room.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {
namespace {

/// Adds tasks to the last entry if that has the same step.
void AddPacked(const PackedTask& task, std::vector<PackedTask>* packed) {
  if (!packed->empty() && packed->back().step == task.step) {
    packed->back().count += task.count;
  } else {
    packed->push_back(task);
  }
}

}  // namespace

bool JobScheduler::IsReportDue(Event event, const TaskKey& task, Milliseconds now) {
  const auto [report, added] = m_wait_reports.try_emplace({event, StepKeyOf(task)}, now);
  if (!added && report->second + Milliseconds(config::kWaitReportMs) > now) return false;
  report->second = now;
  return true;
}

void JobScheduler::ReportUnplaced(const WaitingStep& waiting, const TaskKey& task,
                                  Milliseconds now) {
  if (m_wait_reports_left <= 0 || !IsReportDue(Event::kTaskUnplaced, task, now)) return;
  --m_wait_reports_left;
  const TaskState& state = waiting.state().tasks[task.index];
  const Capacity needed = ReservationOf(waiting.spec());
  const RoomCounts room = CountRoom(&m_sessions, waiting, task, now);
  LogEvent(Event::kTaskUnplaced,
           {RequestField(task.job.str()),
            {"task", task.str()},
            {"waiting_tasks", waiting.spec().count - waiting.state().done - waiting.state().placed},
            {"waited_ms", now - state.requeued_at.value_or(waiting.occurrence->due)},
            {"service", waiting.job->spec().service},
            {"needs_millicores", needed.cpu_millicores},
            {"needs_mb", needed.memory_mb},
            {"most_free_millicores", room.most_free.cpu_millicores},
            {"most_free_mb", room.most_free.memory_mb},
            {"fits", room.fits},
            {"short_cpu", room.short_cpu},
            {"short_memory", room.short_memory},
            {"excluded", room.excluded},
            {"released", room.released},
            {"draining", room.draining},
            {"silent", room.silent},
            {"avoided", room.avoided},
            {"starting", room.starting}});
}

bool JobScheduler::IsAtWork(const TaskKey& key, const TaskState& task) const {
  if (!task.placed) return false;
  const auto session = m_sessions.find(task.placed->upstream);
  if (session == m_sessions.end() || session->second.unanswered > 0) return false;
  const auto run = session->second.hosted.find(key);
  return run != session->second.hosted.end() && run->second.state == HostedState::kRunning &&
         run->second.percent >= 100;
}

int JobScheduler::UnavailableBeside(const TaskKey& task) {
  const Job& job = *m_jobs.at(task.job);
  const StepState& step = job.occurrences().at(task.occurrence).steps[task.step];
  const auto [unavailable, added] = m_unavailable.try_emplace(StepKeyOf(task), 0);
  if (added) {
    TaskKey key = task;
    for (key.index = 0; key.index < static_cast<int>(step.tasks.size()); ++key.index) {
      if (!IsAtWork(key, step.tasks[key.index])) ++unavailable->second;
    }
  }
  return unavailable->second - (IsAtWork(task, step.tasks[task.index]) ? 0 : 1);
}

bool JobScheduler::HoldFutureRoom(const WaitingStep& waiting, const TaskKey& task,
                                  std::vector<UpstreamCandidate>* candidates, Milliseconds now) {
  const Milliseconds add_time(config::kAddUpstreamMs);
  const auto hold = m_holds.find(task);
  if (hold != m_holds.end() && now < hold->second.chosen_at + Milliseconds(config::kHoldReviewMs))
    return hold->second.room_expected_at <= now + add_time;
  if (hold == m_holds.end() && m_holds.size() >= config::kMaxHolds) return false;
  const StepKey step = StepKeyOf(task);
  const auto no_room = m_no_room_until.find(step);
  if (hold == m_holds.end() && no_room != m_no_room_until.end() && now < no_room->second) {
    return false;
  }
  const std::optional<FutureRoom> room = ChooseForHold(candidates, waiting, task, now);
  if (!room) {
    DropHold(task);
    m_no_room_until[step] = now + Milliseconds(config::kNoRoomRetryMs);
    return false;
  }
  UpstreamCandidate* const chosen = room->candidate;
  const Milliseconds expected = room->at;
  --m_placements_left;
  const Capacity capacity = ReservationOf(waiting.spec());
  if (hold != m_holds.end()) {
    for (UpstreamCandidate& candidate : *candidates) {
      if (candidate.session->entry.id == hold->second.upstream)
        candidate.free = candidate.free + capacity;
    }
  }
  HoldRoom(task, capacity, chosen->session, now, expected);
  chosen->free = chosen->free - capacity;
  LogEvent(Event::kRoomHeld, {RequestField(task.job.str()),
                              {"task", task.str()},
                              {"upstream", chosen->session->entry.id},
                              {"expected_ms", expected - now},
                              {"free_millicores", chosen->free.cpu_millicores},
                              {"free_mb", chosen->free.memory_mb}});
  return expected <= now + add_time;
}

void JobScheduler::HoldRoom(const TaskKey& task, const Capacity& capacity, UpstreamSession* session,
                            Milliseconds now, Milliseconds room_expected_at) {
  DropHold(task);
  session->held.Put(task, capacity);
  m_holds[task] = {
      .upstream = session->entry.id, .chosen_at = now, .room_expected_at = room_expected_at};
}

void JobScheduler::DropHold(const TaskKey& task) {
  const auto hold = m_holds.find(task);
  if (hold == m_holds.end()) return;
  if (UpstreamSession* const session = FindSession(hold->second.upstream))
    session->held.erase(task);
  m_holds.erase(hold);
}

void JobScheduler::DropStaleHolds(Milliseconds now) {
  std::erase_if(m_wait_reports, [&](const auto& report) {
    return report.second + 2 * Milliseconds(config::kWaitReportMs) <= now;
  });
  std::erase_if(m_no_room_until, [&](const auto& step) { return step.second <= now; });
  std::vector<TaskKey> stale;
  for (const auto& [key, hold] : m_holds) {
    const auto job = m_jobs.find(key.job);
    const TaskState* const task = job == m_jobs.end() ? nullptr : job->second->Find(key);
    const UpstreamSession* const target = FindSession(hold.upstream);
    const bool usable = target != nullptr && IsUsable(*target, now);
    if (task == nullptr || task->done || !usable || (task->placed && !IsMoving(key, *task, now))) {
      stale.push_back(key);
    }
  }
  for (const TaskKey& key : stale) DropHold(key);
}

bool JobScheduler::IsMoving(const TaskKey& key, const TaskState& task, Milliseconds now) {
  const UpstreamSession* const session = FindSession(task.placed->upstream);
  if (session == nullptr) return false;
  if (session->entry.draining || session->released_until > now) return true;
  const auto run = session->hosted.find(key);
  return run != session->hosted.end() && run->second.state == HostedState::kStopping;
}

UpstreamSession* JobScheduler::PrepareMove(const TaskKey& task, const UpstreamSession& from,
                                           Milliseconds now) {
  Job& job = *m_jobs.at(task.job);
  const StepSpec& spec = job.spec().steps[task.step];
  const auto report_held = [&](const char* cause, int unavailable) {
    if (!IsReportDue(Event::kMoveHeld, task, now)) return;
    LogEvent(Event::kMoveHeld, {RequestField(task.job.str()),
                                {"task", task.str()},
                                {"upstream", from.entry.id},
                                {"cause", cause},
                                {"unavailable", unavailable},
                                {"max_unavailable", spec.max_unavailable}});
  };
  const int unavailable = UnavailableBeside(task);
  if (unavailable + 1 > std::max(1, spec.max_unavailable)) {
    report_held("others-unavailable", unavailable);
    DropHold(task);
    return nullptr;
  }
  const WaitingStep waiting{
      .job = &job, .occurrence = &job.occurrences().at(task.occurrence), .step = task.step};
  if (!m_move_candidates) m_move_candidates = FindCandidates(&m_sessions, now);
  UpstreamCandidate* const target = ChooseCandidate(&*m_move_candidates, waiting, task);
  if (target == nullptr) {
    report_held("no-room", unavailable);
    HoldFutureRoom(waiting, task, &*m_move_candidates, now);
    return nullptr;
  }
  if (!target->session->held.contains(task)) {
    DropHold(task);
    HoldRoom(task, ReservationOf(spec), target->session, now, now);
    target->free = target->free - ReservationOf(spec);
  }
  // The caller stops it now.
  if (IsAtWork(task, *job.Find(task))) ++m_unavailable[StepKeyOf(task)];
  return target->session;
}

PackedTask JobScheduler::PackedTaskOf(const TaskKey& task, const StepSpec& spec, int count) {
  TaskKey step = task;
  step.index = 0;
  return {.step = step,
          .needed = ReservationOf(spec),
          .max_per_upstream = spec.max_per_upstream,
          .count = count};
}

void JobScheduler::NoteUnplaced(const WaitingStep& waiting, int tasks) {
  const ServiceName& service = waiting.job->spec().service;
  const std::string& label = waiting.spec().required_label;
  // A further upstream of the service is taken to have the same labels as the present ones.
  const bool may_fit =
      label.empty() || std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& each) {
        return each.second.entry.service == service && HasLabel(each.second.entry, label);
      });
  if (!may_fit) return;
  const TaskKey first{.job = waiting.job->spec().id,
                      .occurrence = waiting.occurrence->number,
                      .step = waiting.step};
  m_unplaced_lasting[service].push_back(PackedTaskOf(first, waiting.spec(), tasks));
}

int JobScheduler::MinUpstreamsForLasting(const ServiceName& service, Milliseconds now) const {
  std::vector<PackedTask> all;
  std::vector<PackedTask> leaving;
  std::vector<PackingRoom> rooms;
  std::vector<PackingRoom> starting;
  Capacity empty;
  int staying = 0;
  for (const auto& [id, session] : m_sessions) {
    if (session.entry.service != service) continue;
    const Capacity& capacity = session.entry.capacity;
    empty.cpu_millicores = std::max(empty.cpu_millicores, capacity.cpu_millicores);
    empty.memory_mb = std::max(empty.memory_mb, capacity.memory_mb);
    empty.gpus = std::max(empty.gpus, capacity.gpus);
    const bool leaves = session.IsLost() || session.released_until > now;
    PackingRoom room{.free = capacity, .tasks = {}};
    const auto occupy = [&](const TaskKey& task, const Capacity& needed) {
      TaskKey step = task;
      step.index = 0;
      room.free = room.free - needed;
      ++room.tasks[step];
    };
    for (const auto& [task, run] : session.hosted) {
      const auto job = m_jobs.find(task.job);
      if (!run.lasting || job == m_jobs.end()) continue;
      occupy(task, run.reserved);
      if (run.state == HostedState::kStopping) continue;
      const PackedTask packed = PackedTaskOf(task, job->second->StepOf(task), 1);
      AddPacked(packed, &all);
      if (leaves && m_holds.count(task) == 0) AddPacked(packed, &leaving);
    }
    for (const auto& [task, held] : session.held) occupy(task, held);
    if (!session.listed || leaves) continue;
    ++staying;
    (session.fenced ? rooms : starting).push_back(room);
  }
  int further = 0;
  const auto unplaced = m_unplaced_lasting.find(service);
  if (unplaced != m_unplaced_lasting.end()) {
    // They have found no room on the upstreams that can be used already.
    further = CountFurtherUpstreams(unplaced->second, starting, empty);
    all.insert(all.end(), unplaced->second.begin(), unplaced->second.end());
  }
  rooms.insert(rooms.end(), starting.begin(), starting.end());
  further += CountFurtherUpstreams(leaving, rooms, empty);
  const int packed = CountFurtherUpstreams(all, {}, empty);
  return further > 0 ? std::max(packed, staying + further) : packed;
}

}  // namespace endivewood
