/// @file
/// Occurrences, progress and critical path of a job.
#include "job.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

Job::Job(JobRecord record, Milliseconds arrived, std::vector<Milliseconds> durations)
    : m_record(std::move(record)), m_arrived(arrived), m_durations(std::move(durations)) {
  for (std::size_t step = m_durations.size(); step < spec().steps.size(); ++step) {
    m_durations.push_back(spec().steps[step].estimate);
  }
  for (std::size_t index = 0; index < spec().steps.size(); ++index) {
    const StepSpec& step = spec().steps[index];
    m_lasting = m_lasting || step.lasting;
    if (step.lasting) continue;
    m_work += static_cast<std::int64_t>(step.count) * step.cpu_millicores *
              m_durations[index].count() / 1000;
  }
  m_critical_path = CriticalPathOf(nullptr);
}

Occurrence Job::MakeOccurrence(int number, Milliseconds due) const {
  Occurrence occurrence{.number = number, .due = due, .steps = {}, .complete = false};
  for (const StepSpec& step : spec().steps) {
    occurrence.steps.push_back({.tasks = std::vector<TaskState>(step.count)});
  }
  return occurrence;
}

Milliseconds Job::DueTimeOf(int number, Milliseconds unix_offset) const {
  if (spec().occurrences <= 0) return m_arrived;
  return spec().first_due + number * spec().interval - unix_offset;
}

void Job::CreateDueOccurrences(Milliseconds now, Milliseconds unix_offset) {
  while (m_next_occurrence < OccurrenceCount()) {
    const Milliseconds due = DueTimeOf(m_next_occurrence, unix_offset);
    if (due > now) return;
    auto [position, created] =
        m_occurrences.emplace(m_next_occurrence, MakeOccurrence(m_next_occurrence, due));
    position->second.due = due;
    UpdateRemaining(&position->second);
    ++m_next_occurrence;
  }
}

std::optional<Milliseconds> Job::NextDue(Milliseconds unix_offset) const {
  if (m_next_occurrence >= OccurrenceCount()) return std::nullopt;
  return DueTimeOf(m_next_occurrence, unix_offset);
}

TaskState* Job::Find(const TaskKey& key) {
  const auto found = m_occurrences.find(key.occurrence);
  if (found == m_occurrences.end()) return nullptr;
  if (key.step < 0 || key.step >= static_cast<int>(found->second.steps.size())) return nullptr;
  StepState& step = found->second.steps[key.step];
  if (key.index < 0 || key.index >= static_cast<int>(step.tasks.size())) return nullptr;
  return &step.tasks[key.index];
}

bool Job::AnyTaskDone(const TaskKey& key) const {
  const auto found = m_occurrences.find(key.occurrence);
  return found != m_occurrences.end() && found->second.steps[key.step].done > 0;
}

bool Job::DependenciesDone(const Occurrence& occurrence, int step) const {
  return std::all_of(spec().steps[step].depends.begin(), spec().steps[step].depends.end(),
                     [&](int dependency) {
                       return occurrence.steps[dependency].done == spec().steps[dependency].count;
                     });
}

bool Job::MarkDone(const TaskKey& key) {
  const auto found = m_occurrences.find(key.occurrence);
  if (found == m_occurrences.end()) return false;
  Occurrence& occurrence = found->second;
  StepState& step = occurrence.steps[key.step];
  bool changed = false;
  const auto mark = [&](TaskState* task) {
    if (task->done) return;
    task->done = true;
    ++step.done;
    changed = true;
  };
  if (spec().steps[key.step].gang) {
    for (TaskState& member : step.tasks) mark(&member);
  } else {
    mark(&step.tasks[key.index]);
  }
  occurrence.complete = std::all_of(
      occurrence.steps.begin(), occurrence.steps.end(), [](const StepState& step_state) {
        return step_state.done == static_cast<int>(step_state.tasks.size());
      });
  if (changed) UpdateRemaining(&occurrence);
  if (m_next_occurrence < OccurrenceCount()) return changed;
  const bool all = std::all_of(m_occurrences.begin(), m_occurrences.end(),
                               [](const auto& entry) { return entry.second.complete; });
  if (all) state = JobState::kComplete;
  return changed;
}

Milliseconds Job::CriticalPathOf(const Occurrence* occurrence) const {
  std::vector<Milliseconds> finish(spec().steps.size(), Milliseconds{0});
  Milliseconds longest{0};
  for (std::size_t step = 0; step < spec().steps.size(); ++step) {
    const StepSpec& step_spec = spec().steps[step];
    Milliseconds begin{0};
    for (const int dependency : step_spec.depends) begin = std::max(begin, finish[dependency]);
    const bool done = occurrence != nullptr && occurrence->steps[step].done == step_spec.count;
    finish[step] = begin + (done || step_spec.lasting ? Milliseconds{0} : m_durations[step]);
    longest = std::max(longest, finish[step]);
  }
  return longest;
}

void Job::UpdateRemaining(Occurrence* occurrence) {
  occurrence->remaining_path = CriticalPathOf(occurrence);
  std::int64_t work = 0;
  for (std::size_t step = 0; step < spec().steps.size(); ++step) {
    const StepSpec& step_spec = spec().steps[step];
    if (step_spec.lasting) continue;
    const std::int64_t left = step_spec.count - occurrence->steps[step].done;
    work += left * step_spec.cpu_millicores * m_durations[step].count() / 1000;
  }
  m_created_work += work - occurrence->remaining_work;
  occurrence->remaining_work = work;
}

std::int64_t Job::RemainingWork() const {
  return std::min(m_created_work, static_cast<std::int64_t>(config::kMaxJobWork));
}

Milliseconds Job::OnTimeDeadlineOf(const Occurrence& occurrence) const {
  const auto stretched = static_cast<std::int64_t>(policy().stretch * m_critical_path.count());
  return occurrence.due + Milliseconds(stretched) + policy().objective;
}

bool Job::CanBeOnTime(Milliseconds now) const {
  return std::any_of(m_occurrences.begin(), m_occurrences.end(), [&](const auto& entry) {
    const Occurrence& occurrence = entry.second;
    return !occurrence.complete && now + occurrence.remaining_path <= OnTimeDeadlineOf(occurrence);
  });
}

JobProgress Job::Progress() const {
  JobProgress progress{.state = state, .occurrences = {}};
  for (const auto& [number, occurrence] : m_occurrences) {
    OccurrenceProgress entry{.number = number, .complete = occurrence.complete, .steps = {}};
    for (const StepState& step : occurrence.steps) {
      StepProgress ends;
      for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        if (step.tasks[index].done) ends.done.push_back(index);
        for (const FailedRun& failed : step.tasks[index].failed) {
          ends.failed.push_back(static_cast<std::uint64_t>(index));
          ends.failed.push_back(failed.run);
        }
      }
      entry.steps.push_back(std::move(ends));
    }
    if (occurrence.complete) entry.steps.clear();
    progress.occurrences.push_back(std::move(entry));
  }
  return progress;
}

void Job::Apply(const JobProgress& progress) {
  state = progress.state;
  started = started || state != JobState::kQueued;
  for (const OccurrenceProgress& entry : progress.occurrences) {
    auto [position, created] =
        m_occurrences.emplace(entry.number, MakeOccurrence(entry.number, m_arrived));
    Occurrence& occurrence = position->second;
    if (entry.complete) {
      occurrence.complete = true;
      for (StepState& step : occurrence.steps) {
        for (TaskState& task : step.tasks) task.done = true;
        step.done = static_cast<int>(step.tasks.size());
      }
      UpdateRemaining(&occurrence);
      continue;
    }
    UpdateRemaining(&occurrence);
    if (entry.steps.size() != occurrence.steps.size()) continue;
    for (std::size_t step = 0; step < entry.steps.size(); ++step) {
      StepState& target = occurrence.steps[step];
      const int count = static_cast<int>(target.tasks.size());
      for (const int index : entry.steps[step].done) {
        if (index < 0 || index >= count || target.tasks[index].done) continue;
        target.tasks[index].done = true;
        ++target.done;
      }
      const std::vector<std::uint64_t>& failed = entry.steps[step].failed;
      for (std::size_t pair = 0; pair + 1 < failed.size(); pair += 2) {
        if (failed[pair] >= static_cast<std::uint64_t>(count)) continue;
        target.tasks[failed[pair]].failed.push_back({.run = failed[pair + 1]});
      }
    }
    UpdateRemaining(&occurrence);
  }
}

bool IsOpen(const Job& job) {
  return job.state == JobState::kQueued || job.state == JobState::kRunning;
}

}  // namespace endivewood
