/// @file
/// Scheduling order of waiting steps, and choice of an upstream for a task.
#pragma once

#include <memory>
#include <set>
#include <vector>

#include "job.h"
#include "upstream_session.h"

namespace endivewood {

/// Whether work comes after that of other accounts.
struct AccountStanding {
  bool surplus = false;      ///< See Job::surplus.
  bool above_share = false;  ///< The account got more than its share lately, see ReceivedWork.

  auto operator<=>(const AccountStanding&) const = default;
};

/// A step that has tasks to start and whose dependencies are done.
struct WaitingStep {
  Job* job = nullptr;
  Occurrence* occurrence = nullptr;
  int step = 0;
  Milliseconds latest_start{0};  ///< Latest start with which the occurrence can be on time.
  bool on_time = false;          ///< The latest start hasn't passed.
  std::int64_t work_left = 0;    ///< Remaining work of the job, core-milliseconds.
  AccountStanding standing;      ///< Set only while there is too little room, see IsContended.

  const StepSpec& spec() const { return job->spec().steps[step]; }
  StepState& state() const { return occurrence->steps[step]; }
};

/// Capacity that short runs of an upstream, and runs that are being stopped, leave by a time.
struct FreedRoom {
  Milliseconds at{0};
  Capacity freed;  ///< Since the beginning of the placement pass.
};

/// A usable upstream and its free capacity during one placement pass.
struct UpstreamCandidate {
  UpstreamSession* session = nullptr;
  Capacity free;                         ///< See UpstreamSession::Free.
  bool hosts_latency_sensitive = false;  ///< Tasks with a target latency.
  bool hosts_best_effort = false;  ///< Tasks that use leftover capacity (StepSpec::best_effort).
  Standing standing = Standing::kGood;  ///< Beside the other candidates of its service.
  bool trial_only = false;              ///< Gets one task at a time until one succeeds.
  /// By time; determined when it is first needed, see RoomExpectedAt.
  std::shared_ptr<const std::vector<FreedRoom>> freed_room;
};

/// The usable upstreams of one service during one placement pass. A peak leaves hundreds of steps
/// waiting for full upstreams; requirements that none could meet are remembered, so that each
/// further step costs one comparison instead of a search.
class CandidatePool {
 public:
  std::vector<UpstreamCandidate> candidates;  ///< Sorted by upstream.

  /// @returns the candidate of an upstream, or nullptr.
  UpstreamCandidate* Find(const UpstreamId& upstream);
  /// @returns whether any candidate has a label; an empty one is on all.
  bool HasLabel(const std::string& label);
  /// @returns false if no candidate has the free capacity, as far as an earlier search tells. Not
  /// for a task for which room is held, as that room isn't counted.
  bool MayHold(const Capacity& needed) const;
  /// Call when no candidate took a task for which no room is held. Free capacity only shrinks while
  /// tasks are placed, so it remains true until ForgetSearches.
  void NoteSearched(const Capacity& needed);
  /// Call when a candidate's free capacity has grown.
  void ForgetSearches() { m_unmet.clear(); }

 private:
  std::vector<Capacity> m_unmet;
  std::optional<std::set<std::string>> m_labels;  ///< Collected when first needed.
};

bool HasLabel(const UpstreamEntry& entry, const std::string& label);

/// Rank of short work in the scheduling order; the lowest rank comes first.
struct JobRank {
  bool late = false;  ///< It can't be on time.
  int priority = 0;
  AccountStanding standing;
  std::int64_t order = 0;
  std::int64_t late_order = 0;

  auto operator<=>(const JobRank&) const = default;
};

/// @param latest_start latest start with which the work can be on time.
/// @param work_left remaining work of the job, core-milliseconds.
JobRank RankOf(const Job& job, Milliseconds latest_start, bool on_time, std::int64_t work_left,
               const AccountStanding& standing);

/// Orders waiting steps. Lasting steps come first: they hold capacity for minutes, and users
/// notice their absence at once. Steps that can be on time come before late ones, whose results
/// have little value whenever they end. Both groups are sorted by priority; then work within its
/// account's rate comes first, and accounts that aren't above their fair share; then the first
/// group is sorted by latest start, weighted by remaining work, and the second by remaining work,
/// smallest first.
bool ComesBefore(const WaitingStep& a, const WaitingStep& b);

/// @returns whether tasks may be placed on an upstream.
bool IsUsable(const UpstreamSession& session, Milliseconds now);

/// @returns all usable upstreams with their free capacity.
std::vector<UpstreamCandidate> FindCandidates(std::map<UpstreamId, UpstreamSession>* sessions,
                                              Milliseconds now);
/// @returns the same, by service.
std::map<ServiceName, CandidatePool> FindPools(std::map<UpstreamId, UpstreamSession>* sessions,
                                               Milliseconds now);

/// @returns the upstreams that would be usable if they weren't released, and that still run tasks.
/// The planner waits for these, so a lasting task without any other room can run there meanwhile.
std::vector<UpstreamCandidate> FindBusyReleased(std::map<UpstreamId, UpstreamSession>* sessions,
                                                Milliseconds now);

/// @returns whether the upstream has the capacity and properties for a task of the step. Room that
/// is held for this task counts as free.
bool Fits(const UpstreamCandidate& candidate, const WaitingStep& waiting, const TaskKey& key);

/// @returns whether the candidate fits a task, and no earlier run of the task is stopping there.
bool MayStartOn(const UpstreamCandidate& candidate, const WaitingStep& waiting, const TaskKey& key);

/// Numbers of candidates that fit a task.
struct FitCounts {
  int fit = 0;
  int awaiting_answers = 0;  ///< Of these, see UpstreamSession::AwaitsAnswers.
};
FitCounts CountFits(const std::vector<UpstreamCandidate>& candidates, const WaitingStep& waiting,
                    const TaskKey& key);

/// @returns how many times free capacity holds what a task needs, at most `limit`.
int CountHeld(const Capacity& free, const Capacity& needed, int limit);

/// @returns how many tasks of a step fit on a candidate beside each other, at most `limit`.
int CountFitting(const UpstreamCandidate& candidate, const WaitingStep& waiting, int limit);

/// Whether to pass over upstreams from which many starts have no answer yet.
enum class StartLimit : std::uint8_t { kIgnored = 0, kApplied };

/// Chooses the best upstream for one task. Criteria in this order: the task hasn't failed there; it
/// has a good standing; it is in the rack of the task's data; best-effort and latency-sensitive
/// tasks stay apart. Among equals, lasting tasks get the upstream with the most free CPU and other
/// tasks the one with the least, so that whole instances stay free for wide steps and for moves
/// between pools.
/// @returns nullptr if no upstream fits.
UpstreamCandidate* ChooseCandidate(std::vector<UpstreamCandidate>* candidates,
                                   const WaitingStep& waiting, const TaskKey& key,
                                   StartLimit limit = StartLimit::kIgnored);

/// A service's upstreams by the first reason why they don't take a task of a step.
struct RoomCounts {
  int fits = 0;
  int released = 0;  ///< Reserved for a move or maintenance.
  int draining = 0;
  int silent = 0;        ///< Not listed, or the last order had no answer.
  int avoided = 0;       ///< Full, unhealthy or failing a short time ago.
  int starting = 0;      ///< Its run list hasn't been read yet, or it has no lease.
  int short_cpu = 0;     ///< Usable, without enough free CPU.
  int short_memory = 0;  ///< Usable, without enough free memory.
  int excluded = 0;      ///< Usable, but label, GPUs or max_per_upstream don't permit it.
  Capacity most_free;    ///< Of the usable ones, each resource by itself.
};

RoomCounts CountRoom(std::map<UpstreamId, UpstreamSession>* sessions, const WaitingStep& waiting,
                     const TaskKey& key, Milliseconds now);

/// The upstream that has room for a waiting lasting task soonest.
struct FutureRoom {
  UpstreamCandidate* candidate = nullptr;
  Milliseconds at{0};
};

/// Chooses the upstream that has room for a waiting lasting task soonest if no further short task
/// starts there. Running lasting tasks are expected to stay.
/// @returns no value if lasting tasks leave no room on any candidate.
std::optional<FutureRoom> ChooseForHold(std::vector<UpstreamCandidate>* candidates,
                                        const WaitingStep& waiting, const TaskKey& key,
                                        Milliseconds now);

/// @returns when the candidate has room for the task if no further short task starts there, by the
/// estimates of the short tasks that run there; no value if lasting tasks leave no room.
std::optional<Milliseconds> RoomExpectedAt(UpstreamCandidate* candidate, const WaitingStep& waiting,
                                           const TaskKey& key, Milliseconds now);

/// Tasks of one step to be packed into upstreams.
struct PackedTask {
  TaskKey step;              ///< With index 0.
  Capacity needed;           ///< Of one task.
  int max_per_upstream = 0;  ///< 0: no limit.
  int count = 1;
};

/// Room on one upstream, and its tasks by step.
struct PackingRoom {
  Capacity free;
  std::map<TaskKey, int> tasks;
};

/// Packs tasks into upstreams, largest memory first.
/// @param rooms room on existing upstreams; what the tasks take is subtracted.
/// @param empty capacity of a further upstream. Tasks that exceed it aren't counted.
/// @returns the number of further upstreams that the tasks need.
int CountFurtherUpstreams(std::vector<PackedTask> tasks, std::vector<PackingRoom> rooms,
                          const Capacity& empty);

/// Subtracts a task's reservation from the free capacity.
void Reserve(UpstreamCandidate* candidate, const StepSpec& step);

/// @returns the capacity that one task of the step reserves.
Capacity ReservationOf(const StepSpec& step);

/// @returns what one task of the step counts against its account's limit. The platform doesn't say
/// that leftover capacity doesn't count, so best-effort tasks count in full.
ResourceTotal ChargeOf(const StepSpec& step);

}  // namespace endivewood
